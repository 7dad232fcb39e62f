//! Selects the backend server that a flow is sent to.
//!
//! * [`Order`] ranks the targets of a service for a flow by weighted rendezvous
//!   hashing, with the same result on every process and platform.
//! * [`hunt`] relays an open along the first targets of that order until one
//!   accepts it.
//! * [`pin`] records, at a flow's home, which other target holds the flow.
//! * [`placement`] ranks targets for a new flow by their expected response time.
//! * [`Size`] learns what the flows of a route carry.
//! * [`Trend`] projects the load of an availability zone ahead.
//! * [`refusal`] remembers which classes of new flows no target has capacity for.
//!
//! All modules are sans-IO: the caller passes in the time and random seeds, and
//! does the network I/O.
pub mod hash;
pub mod holder;
pub mod hunt;
pub mod logarithm;
pub mod order;
pub mod pin;
pub mod placement;
pub mod refusal;
pub mod size;
pub mod tree;
pub mod trend;

pub use order::Order;
pub use placement::Placement;
pub use refusal::Refusal;
pub use size::Size;
pub use trend::Trend;
