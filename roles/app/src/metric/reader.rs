//! Keeps what the instruments said when they were last read.
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::Temporality;
use opentelemetry_sdk::metrics::data::AggregatedMetrics;
use opentelemetry_sdk::metrics::data::HistogramDataPoint;
use opentelemetry_sdk::metrics::data::Metric;
use opentelemetry_sdk::metrics::data::MetricData;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::data::ScopeMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;

use super::REASON;

/// Last part of the name of a histogram's buckets.
pub(super) const BUCKET: &str = "bucket";

/// Upper bound of the last bucket.
const INFINITY: &str = "+Inf";

/// The value of a metric at one time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Reason, or empty.
    pub reason: String,
    /// The value.
    pub value: u64,
}

impl fmt::Display for Sample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason.as_str() {
            "" => write!(formatter, "{}={}", self.name, self.value),
            reason => write!(formatter, "{}{{{reason}}}={}", self.name, self.value),
        }
    }
}

/// The samples of the last reading.
#[derive(Debug, Default)]
pub(super) struct Latest(Mutex<Vec<Sample>>);

impl Latest {
    pub(super) fn samples(&self) -> Vec<Sample> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn replace(&self, samples: Vec<Sample>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = samples;
    }
}

/// Takes the readings of the instruments.
#[derive(Debug)]
pub(super) struct Exporter(pub(super) Arc<Latest>);

impl PushMetricExporter for Exporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let scopes = metrics.scope_metrics();
        let metrics = scopes.flat_map(ScopeMetrics::metrics);
        let mut samples: Vec<Sample> = metrics.flat_map(samples).collect();
        samples.sort();
        self.0.replace(samples);
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

fn samples(metric: &Metric) -> Vec<Sample> {
    match metric.data() {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => sum
            .data_points()
            .map(|point| sample(metric.name(), point.attributes(), point.value()))
            .collect(),
        AggregatedMetrics::U64(MetricData::Gauge(gauge)) => gauge
            .data_points()
            .map(|point| sample(metric.name(), point.attributes(), point.value()))
            .collect(),
        AggregatedMetrics::U64(MetricData::Histogram(histogram)) => histogram
            .data_points()
            .flat_map(|point| buckets(metric.name(), point))
            .collect(),
        // No other kinds are in the table.
        _ => Vec::new(),
    }
}

/// The cumulative counts of a histogram, by upper bound, with their sum.
fn buckets(name: &str, point: &HistogramDataPoint<u64>) -> Vec<Sample> {
    let mut sum = 0;
    let bounds = point.bounds().map(|bound| format!("{bound}"));
    let bounds = bounds.chain([INFINITY.to_owned()]);
    let counts = point.bucket_counts().zip(bounds);
    let named = |part: &str, reason: String, value| Sample {
        name: format!("{name}.{part}"),
        reason,
        value,
    };
    let mut samples: Vec<Sample> = counts
        .map(|(count, bound)| {
            sum += count;
            named(BUCKET, bound, sum)
        })
        .collect();
    samples.push(named("sum", String::new(), point.sum()));
    samples.push(named("count", String::new(), point.count()));
    samples
}

fn sample<'a>(
    name: &str,
    mut attributes: impl Iterator<Item = &'a KeyValue>,
    value: u64,
) -> Sample {
    let reason = attributes.find(|attribute| attribute.key.as_str() == REASON);
    Sample {
        name: name.into(),
        reason: reason
            .map(|reason| reason.value.to_string())
            .unwrap_or_default(),
        value,
    }
}
