//! The configuration of services, and the decisions about it that need no I/O.
//!
//! * [`Service`] is the configuration of one service, with its checks and codecs.
//! * [`Record`] is what the platform's key-value service stores of it.
//! * [`Change`] decides about an operator's change.
//! * [`Reader`] decides which entries read the store, by a [`Lease`] and a
//!   [`Feed`].
//! * [`Follow`] decides how one key of the store is followed.
//! * [`Presence`] decides how a process stays listed in the store.
//! * [`Item`], [`Listing`] and [`Fault`] are the answers of that service.
pub mod change;
pub mod diff;
pub mod fault;
pub mod feed;
pub mod follow;
pub mod item;
pub mod jitter;
pub mod key;
pub mod lease;
pub mod presence;
pub mod problem;
pub mod reader;
pub mod record;
pub mod service;

pub use change::Change;
pub use fault::Fault;
pub use feed::Feed;
pub use feed::Update;
pub use follow::Follow;
pub use item::Item;
pub use item::LeaseId;
pub use item::Listing;
pub use lease::Fence;
pub use lease::Lease;
pub use presence::Presence;
pub use problem::Problem;
pub use reader::Reader;
pub use record::Record;
pub use service::Binding;
pub use service::Drained;
pub use service::OperationId;
pub use service::Service;
pub use service::State;
