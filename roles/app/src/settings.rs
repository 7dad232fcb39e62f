//! Settings of each role, read from flags and environment variables.
pub mod agent;
pub mod call;
pub mod entry;
pub mod operate;
pub mod shared;

pub use agent::Agent;
pub use call::Call;
pub use entry::Entry;
pub use operate::Operate;
pub use shared::Format;
pub use shared::Keys;
pub use shared::Log;
