//! What gateways and sidecars have in common.
pub mod event;
pub mod reader;
pub mod ready;
pub mod report;
