//! Decides which backend server a flow goes to.
//!
//! * [`Order`] ranks the targets of a service for a flow by weighted rendezvous
//!   hashing: the same on every process and platform.
//! * [`hunt`] moves an open along the first targets of that order until one
//!   takes it.
//! * [`pin`] remembers which target holds a flow that its home passed on.
//!
//! All parts are sans-IO: they own no socket, clock or randomness.
pub mod hash;
pub mod holder;
pub mod hunt;
pub mod logarithm;
pub mod order;
pub mod pin;
pub mod place;
pub mod tree;

pub use order::Order;
pub use place::Place;
