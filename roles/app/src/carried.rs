//! What gateways and sidecars have in common.
pub mod event;
pub mod lifecycle;
pub mod link;
pub mod reader;
pub mod ready;
pub mod report;
