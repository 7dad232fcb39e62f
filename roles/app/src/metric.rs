//! Metrics, kept by `opentelemetry` and read within the process.
//!
//! The traffic threads count in atomic numbers of their own, so that a packet
//! costs no lock. [`Metrics::observe`] joins such a number to an instrument,
//! which reads it only when the metrics are read.
mod reader;

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::PeriodicReader;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use thiserror::Error;

pub use reader::Sample;

use reader::Latest;

const SCOPE: &str = "greengagelug";

/// How often the instruments are read without being asked.
const READ_INTERVAL: Duration = Duration::from_mins(1);

/// Attribute that tells refusals, retries and drops apart.
pub const REASON: &str = "reason";

/// How a metric behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only rises while the process runs.
    Counter,
    /// Rises and falls.
    Gauge,
}

/// One metric of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    /// How it behaves.
    pub kind: Kind,
    /// Unit, in the notation of UCUM.
    pub unit: &'static str,
    /// What it counts.
    pub help: &'static str,
}

const fn counter(name: &'static str, unit: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Counter;
    Metric {
        name,
        kind,
        unit,
        help,
    }
}

const fn gauge(name: &'static str, unit: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Gauge;
    Metric {
        name,
        kind,
        unit,
        help,
    }
}

/// All metrics, by role.
pub const METRICS: &[Metric] = &[
    counter(
        "frames.received",
        "{datagram}",
        "datagrams from other processes and the fabric",
    ),
    counter("frames.received_bytes", "By", "their size"),
    counter(
        "frames.sent",
        "{datagram}",
        "datagrams to other processes and the fabric",
    ),
    counter("frames.sent_bytes", "By", "their size"),
    counter(
        "frames.dropped",
        "{datagram}",
        "datagrams that were not accepted or not sent, by reason",
    ),
    counter(
        "packets.relayed",
        "{packet}",
        "callers' packets relayed to agents",
    ),
    counter(
        "packets.returned",
        "{packet}",
        "packets returned to callers",
    ),
    counter(
        "packets.refused",
        "{packet}",
        "callers' packets that the entry did not relay, by reason",
    ),
    counter(
        "control.sent_bytes",
        "By",
        "bytes of the membership protocol sent",
    ),
    counter(
        "control.received_bytes",
        "By",
        "bytes of the membership protocol received",
    ),
    counter(
        "control.refused",
        "{message}",
        "messages of the membership protocol not accepted, by reason",
    ),
    gauge("services", "{service}", "services that this process knows"),
    gauge(
        "targets",
        "{target}",
        "backend servers that this process knows",
    ),
    gauge(
        "revision",
        "1",
        "largest revision of the configuration in force here",
    ),
    counter(
        "requests.refused",
        "{request}",
        "requests and opens that the agent refused, by reason",
    ),
    counter(
        "requests.retried",
        "{request}",
        "requests that the agent sent again or passed on, by reason",
    ),
    gauge("flows", "{flow}", "flows that this agent holds"),
    gauge("slots.busy", "{slot}", "slots of the backend server in use"),
    gauge(
        "slots.limit",
        "{slot}",
        "slots of the backend server that may be used",
    ),
];

/// Why the metrics could not be read.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the metrics could not be collected ({0}); report it as a fault
    Collect(#[from] OTelSdkError),
    /// there is no metric `{0}`; add it to the table of metrics
    Unknown(String),
}

/// The metrics of one process.
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

    /// Joins a number that is kept elsewhere to a metric of the table; `reason`
    /// is empty where the metric has none.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the table has no such metric.
    pub fn observe(
        &self,
        name: &str,
        reason: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<(), Error> {
        let metric = METRICS.iter().find(|metric| metric.name == name);
        let metric = metric.ok_or_else(|| Error::Unknown(name.into()))?;
        let attributes: Vec<KeyValue> = match reason {
            "" => Vec::new(),
            reason => vec![KeyValue::new(REASON, reason)],
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

    /// Returns a number that is joined to a metric of the table, for what no
    /// other part keeps in a number of its own.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the table has no such metric.
    pub fn cell(&self, name: &str, reason: &'static str) -> Result<Arc<AtomicU64>, Error> {
        let cell = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&cell);
        self.observe(name, reason, move || read.load(Ordering::Relaxed))?;
        Ok(cell)
    }

    /// Reads all instruments, ordered by name and reason.
    ///
    /// # Errors
    ///
    /// [`Error::Collect`].
    pub fn read(&self) -> Result<Vec<Sample>, Error> {
        self.provider.force_flush()?;
        Ok(self.latest.samples())
    }
}

/// The page docs/METRICS.md.
#[must_use]
pub fn page() -> String {
    let mut page = String::from(include_str!("metric/page.md"));
    for metric in METRICS {
        let kind = match metric.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
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
