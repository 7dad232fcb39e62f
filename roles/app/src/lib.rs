//! The parts of the `greengagelug` binary.
pub mod operator;
