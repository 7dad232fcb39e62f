//! Prometheus text format of the metrics.
use std::fmt::Write;

use super::METRICS;
use super::Sample;
use super::reader::BUCKET;
use super::table::Kind;

/// Prefix of all exported names.
const PREFIX: &str = "greengagelug_";

/// Formats samples in the Prometheus text format.
#[must_use]
pub fn text(samples: &[Sample]) -> String {
    let mut text = String::new();
    for metric in METRICS {
        let matching = samples
            .iter()
            .filter(|sample| belongs(sample, metric.name, metric.kind));
        let mut matching = matching.peekable();
        if matching.peek().is_none() {
            continue;
        }
        let name = exported_name(metric.name);
        let kind = match metric.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        };
        // Writing to a String cannot fail.
        let _ = writeln!(text, "# HELP {name} {}; {}", metric.help, metric.unit);
        let _ = writeln!(text, "# TYPE {name} {kind}");
        for sample in matching {
            let _ = writeln!(
                text,
                "{}{} {}",
                exported_name(&sample.name),
                label(sample),
                sample.value
            );
        }
    }
    text
}

fn belongs(sample: &Sample, name: &str, kind: Kind) -> bool {
    match kind {
        Kind::Counter | Kind::Gauge => sample.name == name,
        Kind::Histogram => sample
            .name
            .strip_prefix(name)
            .is_some_and(|part| [".bucket", ".sum", ".count"].contains(&part)),
    }
}

fn exported_name(name: &str) -> String {
    format!("{PREFIX}{}", name.replace('.', "_"))
}

fn label(sample: &Sample) -> String {
    match sample.reason.as_str() {
        "" => String::new(),
        bound if sample.name.ends_with(BUCKET) => format!("{{le=\"{bound}\"}}"),
        reason => format!("{{reason=\"{reason}\"}}"),
    }
}
