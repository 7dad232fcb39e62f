//! A randomized soak: runs gateways and sidecars as separate processes on
//! loopback addresses, plays their callers, backend servers, network and store,
//! lets disturbances happen to them from outside, and holds what callers and
//! backend servers see against the promises.
//!
//! A run is drawn from one seed: the deployment, the load and the disturbances.
pub mod address;
pub mod caller;
pub mod checker;
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
