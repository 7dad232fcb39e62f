//! Library of the `greengagelug` binary: the roles with their settings, events,
//! logs and metrics.
pub mod agent;
pub mod call;
pub mod change;
pub mod clock;
pub mod directory;
pub mod entry;
pub mod evacuation;
pub mod event;
pub mod exit;
pub mod forwarder;
pub mod gateway;
pub mod help;
pub mod logger;
pub mod metric;
pub mod operator;
pub mod settings;
pub mod sidecar;
pub mod signal;
