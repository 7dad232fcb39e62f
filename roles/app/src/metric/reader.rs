//! Exporter that keeps the latest reading of the instruments in memory.
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

/// Suffix of the name of a histogram's buckets.
pub(super) const BUCKET: &str = "bucket";

/// Upper bound of the last histogram bucket.
const INFINITY: &str = "+Inf";

/// Value of a metric at one time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Reason, or the upper bound of a bucket; empty if there is none.
    pub reason: String,
    /// Value in the unit of the metric; a number of values for buckets.
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

/// Samples of the latest reading.
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

/// Exporter that stores each reading.
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
        // The table has no other kinds.
        _ => Vec::new(),
    }
}

/// Returns the cumulative bucket counts of a histogram by upper bound, with its
/// sum and count.
fn buckets(name: &str, point: &HistogramDataPoint<u64>) -> Vec<Sample> {
    let mut sum = 0;
    let bounds = point.bounds().map(|bound| format!("{bound}"));
    let bounds = bounds.chain([INFINITY.to_owned()]);
    let counts = point.bucket_counts().zip(bounds);
    let part_sample = |part: &str, reason: String, value| Sample {
        name: format!("{name}.{part}"),
        reason,
        value,
    };
    let mut samples: Vec<Sample> = counts
        .map(|(count, bound)| {
            sum += count;
            part_sample(BUCKET, bound, sum)
        })
        .collect();
    samples.push(part_sample("sum", String::new(), point.sum()));
    samples.push(part_sample("count", String::new(), point.count()));
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
