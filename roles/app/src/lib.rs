//! The parts of the `greengagelug` binary: settings, logs, metrics and roles.
pub mod operator;
pub mod settings;
