//! The parts of the `greengagelug` binary: settings, logs, metrics and roles.
pub mod call;
pub mod exit;
pub mod help;
pub mod settings;
