//! Configuration of services, as data types and state machines without I/O.
//!
//! The store is the platform's key-value service. Each state machine returns
//! the calls to make and takes their answers; the `store` crate makes the calls.
//!
//! * [`Service`] is the configuration of one service, with validation and codecs.
//! * [`Record`] is the value that the store holds for a service.
//! * [`Change`] applies an operator's change by compare-and-swap.
//! * [`Reader`] reads the configuration into an entry: a [`Lease`] decides
//!   whether this entry reads, and a [`Feed`] does the reading.
//! * [`Follower`] follows a single key of the store.
//! * [`Registration`] keeps a process registered in the store.
//! * [`Evacuations`] holds the availability zones that operators have evacuated.
//! * [`era`] orders changes across restores of the store from an older copy.
//! * [`KeyValue`], [`Listing`] and [`Fault`] are the store's answers.
pub mod change;
pub mod diff;
pub mod era;
pub mod evacuation;
pub mod fault;
pub mod feed;
pub mod follower;
pub mod jitter;
pub mod key;
pub mod lease;
pub mod listing;
pub mod problem;
pub mod reader;
pub mod record;
pub mod registration;
pub mod service;

pub use change::Change;
pub use evacuation::Evacuations;
pub use fault::Fault;
pub use feed::Feed;
pub use feed::Update;
pub use follower::Follower;
pub use lease::Fence;
pub use lease::Lease;
pub use listing::KeyValue;
pub use listing::LeaseId;
pub use listing::Listing;
pub use problem::Problem;
pub use reader::Reader;
pub use record::Record;
pub use registration::Registration;
pub use service::Binding;
pub use service::Drained;
pub use service::OperationId;
pub use service::Service;
pub use service::State;
