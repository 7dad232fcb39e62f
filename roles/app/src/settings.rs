//! Settings of each role, read from flags and environment variables.
pub mod agent;
pub mod call;
pub mod carrier;
pub mod command;
pub mod entry;
mod list;
pub mod operate;
pub mod reader;
pub mod shared;
pub mod table;

pub use agent::Agent;
pub use call::Call;
pub use carrier::Carrier;
pub use carrier::Gateway;
pub use carrier::Sidecar;
pub use command::Command;
pub use entry::Entry;
pub use operate::Operate;
pub use reader::Error;
pub use shared::Format;
pub use shared::Keys;
pub use shared::Log;
