//! Values that are copied to the instruments from time to time.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use opentelemetry::metrics::Histogram;

use super::Error;
use super::Metrics;
use super::Sample;

/// Values that are copied to the instruments from time to time.
#[derive(Default)]
pub struct Board {
    metrics: Metrics,
    cells: BTreeMap<Key, Arc<AtomicU64>>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    name: String,
    reason: String,
}

impl Board {
    /// Sets a metric of the table; `reason` is empty where it has none.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the table has no such metric.
    pub fn set(&mut self, name: &str, reason: &str, value: u64) -> Result<(), Error> {
        let key = Key {
            name: name.into(),
            reason: reason.into(),
        };
        if let Some(cell) = self.cells.get(&key) {
            cell.store(value, Ordering::Relaxed);
            return Ok(());
        }
        let cell = self.metrics.cell(name, reason)?;
        cell.store(value, Ordering::Relaxed);
        self.cells.insert(key, cell);
        Ok(())
    }

    /// Sets a metric from a size.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the table has no such metric.
    pub fn set_size(&mut self, name: &str, size: usize) -> Result<(), Error> {
        self.set(name, "", u64::try_from(size).unwrap_or(u64::MAX))
    }

    /// Returns the histogram of a metric of the table.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the table has no such metric.
    pub fn histogram(&self, name: &str) -> Result<Histogram<u64>, Error> {
        self.metrics.histogram(name)
    }

    /// Reads all metrics, ordered by name and reason.
    ///
    /// # Errors
    ///
    /// [`Error::Collect`].
    pub fn read(&self) -> Result<Vec<Sample>, Error> {
        self.metrics.read()
    }
}
