//! Identifiers, caller packets and the frames that the system's processes
//! exchange.
//!
//! * [`caller`] holds the schema of the datagrams between callers and services.
//! * [`Frame`] is one datagram between two processes of the system; [`Seal`]
//!   encodes and authenticates it.
//! * [`Segment`] is the parsed header of a packet that is forwarded unchanged.
//! * [`Target`] describes one backend server as its agent announces it.
pub mod batch;
pub mod caller;
mod escaped;
pub mod frame;
pub mod id;
mod priority;
pub mod revision;
pub mod seal;
pub mod segment;
pub mod target;
pub mod token;
mod trailing;
pub mod transit;

pub use frame::Frame;
pub use frame::Hop;
pub use frame::Relay;
pub use frame::Reply;
pub use id::FlowKey;
pub use id::Incarnation;
pub use id::Priority;
pub use id::RequestId;
pub use id::Revision;
pub use id::ServiceAddress;
pub use id::TargetId;
pub use id::Version;
pub use id::ZoneId;
pub use seal::Seal;
pub use segment::FlowId;
pub use segment::Segment;
pub use target::Target;
pub use token::Token;
pub use transit::Transit;
