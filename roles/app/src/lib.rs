//! The parts of the `greengagelug` binary: settings, logs, metrics and roles.
pub mod agent;
pub mod clock;
pub mod directory;
pub mod entry;
pub mod settings;
pub mod signal;
