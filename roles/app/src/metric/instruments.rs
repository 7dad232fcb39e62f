//! Instruments by metric and reason, which are created on first use.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use opentelemetry::metrics::Histogram;

use super::Error;
use super::Metrics;
use super::Sample;

/// Instruments of one process, by metric and reason.
#[derive(Default)]
pub struct Instruments {
    metrics: Metrics,
    cells: BTreeMap<Series, Arc<AtomicU64>>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    name: String,
    reason: String,
}

impl Instruments {
    /// Sets the value of a metric; `reason` is empty if the metric has none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the table has no such counter or gauge.
    pub fn set(&mut self, name: &str, reason: &str, value: u64) -> Result<(), Error> {
        let series = Series {
            name: name.into(),
            reason: reason.into(),
        };
        if let Some(cell) = self.cells.get(&series) {
            cell.store(value, Ordering::Relaxed);
            return Ok(());
        }
        let cell = self.metrics.cell(name, reason)?;
        cell.store(value, Ordering::Relaxed);
        self.cells.insert(series, cell);
        Ok(())
    }

    /// Sets the value of a metric without reasons to a size.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the table has no such counter or gauge.
    pub fn set_size(&mut self, name: &str, size: usize) -> Result<(), Error> {
        self.set(name, "", u64::try_from(size).unwrap_or(u64::MAX))
    }

    /// Returns the histogram of a metric.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the table has no such histogram.
    pub fn histogram(&self, name: &str) -> Result<Histogram<u64>, Error> {
        self.metrics.histogram(name)
    }

    /// Returns the values of all metrics, ordered by name and reason.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Collect`] if the instruments cannot be read.
    pub fn read(&self) -> Result<Vec<Sample>, Error> {
        self.metrics.read()
    }
}
