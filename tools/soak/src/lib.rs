//! Randomized soak test: runs gateways and sidecars as separate processes on
//! loopback addresses, simulates their callers, backend servers, network and
//! store, injects disturbances from outside, and checks what callers and
//! backend servers observe against the invariants.
//!
//! The deployment, the load and the disturbances of a run are drawn from one
//! seed.
pub mod address;
pub mod caller;
pub mod checker;
pub mod evacuation;
pub mod harness;
pub mod history;
pub mod host;
pub mod injector;
pub mod lifecycle;
pub mod link;
pub mod plan;
pub mod proxy;
pub mod request;
pub mod run;
pub mod server;
pub mod sockets;
pub mod stream;
pub mod topology;
