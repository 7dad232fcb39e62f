//! The configuration of services, and the decisions about it that need no I/O.
//!
//! * [`Service`] is the configuration of one service, with its checks and codecs.
//! * [`Record`] is what the platform's key-value service stores of it.
//! * [`Change`] decides about an operator's change.
//! * [`Item`], [`Listing`] and [`Fault`] are the answers of that service.
pub mod change;
pub mod diff;
pub mod fault;
pub mod item;
pub mod jitter;
pub mod problem;
pub mod record;
pub mod service;

pub use change::Change;
pub use fault::Fault;
pub use item::Item;
pub use item::LeaseId;
pub use item::Listing;
pub use problem::Problem;
pub use record::Record;
pub use service::Binding;
pub use service::Drained;
pub use service::OperationId;
pub use service::Service;
pub use service::State;
