//! Metrics of gateways and sidecars, served over HTTP.
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use ::http::HeaderMap;
use ::http::StatusCode;
use net::http;
use net::http::Answer;
use opentelemetry::metrics::Histogram;
use smol::Executor;
use store::Counts as Calls;

use super::Error;
use super::Instruments;

/// URL path of the metrics.
const PATH: &str = "/metrics";

/// Counters by metric and reason.
#[derive(Debug, Default)]
pub struct Counts(Mutex<BTreeMap<Series, u64>>);

/// Metric of the table and reason, which is empty if the metric has none.
type Series = (&'static str, &'static str);

impl Counts {
    /// Increments a counter.
    pub fn add(&self, name: &'static str, reason: &'static str) {
        self.add_many(name, reason, 1);
    }

    /// Adds to a counter.
    pub fn add_many(&self, name: &'static str, reason: &'static str, count: u64) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((name, reason)).or_default() += count;
    }

    /// Returns a counter.
    #[must_use]
    pub fn get(&self, name: &'static str, reason: &'static str) -> u64 {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(&(name, reason)).copied().unwrap_or_default()
    }

    /// Copies the counters to the instruments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if a metric is not in the table.
    pub fn publish(&self, instruments: &mut Instruments) -> Result<(), Error> {
        let counts = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for ((name, reason), count) in counts {
            instruments.set(name, reason, count)?;
        }
        Ok(())
    }
}

/// Copies the counters of store calls to the instruments.
///
/// # Errors
///
/// Returns [`Error::Unknown`] if the metric is not in the table.
pub fn publish_calls(instruments: &mut Instruments, calls: &Calls) -> Result<(), Error> {
    instruments.set("store.calls", "read", calls.reads)?;
    instruments.set("store.calls", "write", calls.writes)?;
    instruments.set("store.calls", "watch", calls.watches)?;
    instruments.set("store.calls", "lease", calls.leases)?;
    instruments.set("store.calls", "failed", calls.failures)?;
    instruments.set("carried.sent_bytes", "store_unknown_zone", calls.sent_bytes)?;
    instruments.set("store.restores", "", calls.restores)
}

/// Records a duration in a histogram, in microseconds.
pub fn record(histogram: &Histogram<u64>, time: Duration) {
    histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX), &[]);
}

/// Serves the metrics in the Prometheus text format.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    read: impl Fn(&mut Instruments) -> Result<(), Error> + Send + Sync + 'static,
    instruments: Instruments,
) -> io::Result<()> {
    let shared = Arc::new((Mutex::new(instruments), read));
    let answer = move |request: http::Question| {
        let shared = Arc::clone(&shared);
        async move {
            if request.path != PATH {
                return plain(StatusCode::NOT_FOUND, "see /metrics\n".to_owned());
            }
            let (instruments, read) = &*shared;
            let mut instruments = instruments.lock().unwrap_or_else(PoisonError::into_inner);
            match read(&mut instruments).and_then(|()| instruments.read()) {
                Ok(samples) => plain(StatusCode::OK, super::text(&samples)),
                Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            }
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}

fn plain(status: StatusCode, body: String) -> Answer {
    Answer {
        status,
        content_type: "text/plain; version=0.0.4",
        headers: HeaderMap::new(),
        body,
    }
}

/// Rounds a measured value for a gauge.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and measured values are not negative"
)]
pub fn to_count(value: f64) -> u64 {
    value.round() as u64
}
