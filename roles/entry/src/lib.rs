//! Routing decisions of an entry: which agent receives a caller's packet.
//!
//! An entry keeps no state of any flow. [`Router`] is an immutable snapshot of
//! the directory, built by the control thread and read by the traffic threads;
//! [`Router::route`] maps one datagram to one [`Decision`].
pub mod decision;
pub mod router;
pub mod service;

pub use decision::Decision;
pub use decision::DropReason;
pub use router::Router;
pub use service::Service;
