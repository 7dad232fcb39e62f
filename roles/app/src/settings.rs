//! Settings of the roles, read from flags and environment variables.
pub mod agent;
pub mod call;
pub mod command;
pub mod entry;
pub mod forwarder;
mod list;
pub mod operate;
pub mod reader;
pub mod shared;
pub mod table;

pub use agent::Agent;
pub use call::Call;
pub use command::Command;
pub use entry::Entry;
pub use forwarder::Forwarder;
pub use forwarder::Gateway;
pub use forwarder::Sidecar;
pub use operate::Operate;
pub use reader::Error;
pub use shared::Format;
pub use shared::Keys;
pub use shared::Log;
