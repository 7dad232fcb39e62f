//! Metrics, held in `opentelemetry` instruments and read within the process.
//!
//! The cores and the traffic threads count in their own fields, so that counting a
//! packet takes no lock. These values are copied to [`Instruments`] when the
//! metrics are read.
pub mod agent;
pub mod entry;
pub mod forwarder;
mod instruments;
mod reader;
mod table;
mod text;

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::PeriodicReader;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use thiserror::Error;

pub use instruments::Instruments;
pub use reader::Sample;
pub use table::Kind;
pub use table::METRICS;
pub use table::Metric;
pub use text::text;

use crate::event::Event;

use reader::Latest;

const SCOPE: &str = "greengagelug";

/// Interval at which the instruments are read without a request.
const READ_INTERVAL: Duration = Duration::from_mins(1);

/// Upper bounds of histogram buckets in microseconds, three per decade.
const BOUNDS_US: &[u32] = &[
    100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000,
    1_000_000, 2_000_000, 5_000_000,
];

/// Attribute that distinguishes refusals, retries and drops by reason.
pub const REASON: &str = "reason";

/// Reason why a metric could not be registered or the metrics could not be read.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the metrics could not be collected ({0}); report this as a bug
    Collect(#[from] OTelSdkError),
    /// there is no metric `{0}` of this kind; add it to the table of metrics
    Unknown(String),
}

/// Meter of one process, with its latest reading.
pub struct Metrics {
    provider: SdkMeterProvider,
    meter: Meter,
    latest: Arc<Latest>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics without instruments.
    #[must_use]
    pub fn new() -> Self {
        let latest = Arc::new(Latest::default());
        let reader = PeriodicReader::builder(reader::Exporter(Arc::clone(&latest)))
            .with_interval(READ_INTERVAL)
            .build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Self {
            meter: provider.meter(SCOPE),
            provider,
            latest,
        }
    }

    /// Registers a callback that reads the value of a counter or gauge of the
    /// table; `reason` is empty if the metric has none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the table has no such counter or gauge.
    pub fn observe(
        &self,
        name: &str,
        reason: impl Into<String>,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<(), Error> {
        let metric = METRICS.iter().find(|metric| metric.name == name);
        let metric = metric.ok_or_else(|| Error::Unknown(name.into()))?;
        let reason = reason.into();
        let attributes: Vec<KeyValue> = match reason.as_str() {
            "" => Vec::new(),
            _ => vec![KeyValue::new(REASON, reason)],
        };
        match metric.kind {
            Kind::Counter => {
                self.meter
                    .u64_observable_counter(metric.name)
                    .with_unit(metric.unit)
                    .with_description(metric.help)
                    .with_callback(move |observer| observer.observe(read(), &attributes))
                    .build();
            }
            Kind::Histogram => return Err(Error::Unknown(name.into())),
            Kind::Gauge => {
                self.meter
                    .u64_observable_gauge(metric.name)
                    .with_unit(metric.unit)
                    .with_description(metric.help)
                    .with_callback(move |observer| observer.observe(read(), &attributes))
                    .build();
            }
        }
        Ok(())
    }

    /// Registers a counter or gauge of the table and returns the cell that its
    /// value is read from.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the table has no such counter or gauge.
    pub fn cell(&self, name: &str, reason: impl Into<String>) -> Result<Arc<AtomicU64>, Error> {
        let cell = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&cell);
        self.observe(name, reason, move || read.load(Ordering::Relaxed))?;
        Ok(cell)
    }

    /// Returns the histogram of a metric of the table.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the table has no such histogram.
    pub fn histogram(&self, name: &str) -> Result<Histogram<u64>, Error> {
        let metric = METRICS.iter().find(|metric| metric.name == name);
        let metric = metric.filter(|metric| metric.kind == Kind::Histogram);
        let metric = metric.ok_or_else(|| Error::Unknown(name.into()))?;
        Ok(self
            .meter
            .u64_histogram(metric.name)
            .with_unit(metric.unit)
            .with_description(metric.help)
            .with_boundaries(BOUNDS_US.iter().map(|bound| f64::from(*bound)).collect())
            .build())
    }

    /// Returns the values of all instruments, ordered by name and reason.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Collect`] if the instruments cannot be read.
    pub fn read(&self) -> Result<Vec<Sample>, Error> {
        self.provider.force_flush()?;
        Ok(self.latest.samples())
    }
}

/// Logs the values of the metrics as an event.
fn log(read: Result<Vec<Sample>, Error>) {
    match read {
        Ok(samples) => Event::Metrics {
            samples: line(&samples),
        }
        .log(),
        Err(error) => log::warn!("{error}"),
    }
}

/// Formats samples as one line of `name{reason}=value`.
#[must_use]
pub fn line(samples: &[Sample]) -> String {
    let samples: Vec<String> = samples.iter().map(ToString::to_string).collect();
    samples.join(" ")
}

/// Returns the content of docs/METRICS.md.
#[must_use]
pub fn page() -> String {
    let mut page = String::from(include_str!("metric/page.md"));
    for metric in METRICS {
        let kind = match metric.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            page,
            "| `{}` | {kind} | {} | {} |",
            metric.name, metric.unit, metric.help
        );
    }
    page
}
