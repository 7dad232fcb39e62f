//! Cost of a routing decision, bytes of a flow.
use std::error::Error;

use crate::options;

/// Runs all measurements.
pub fn run(arguments: &[String]) -> Result<(), Box<dyn Error>> {
    let _ = options::parse(arguments)?;
    Ok(())
}
