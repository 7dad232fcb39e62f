//! Formats findings as a table with a row per figure and a column per service.
use std::collections::BTreeMap;
use std::fmt;

use super::Finding;

const NAME_WIDTH: usize = 26;
const VALUE_WIDTH: usize = 34;

/// Findings to print.
pub struct Table<'a>(pub &'a [Finding]);

impl fmt::Display for Table<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut row = |name: &str, value: &dyn Fn(&Finding) -> String| {
            write!(formatter, "{name:<NAME_WIDTH$}")?;
            for finding in self.0 {
                write!(formatter, " {:>VALUE_WIDTH$}", value(finding))?;
            }
            writeln!(formatter)
        };
        row("service", &|finding| finding.report.service.clone())?;
        row("sent", &|finding| finding.report.sent.to_string())?;
        row("answered", &|finding| finding.report.answered.to_string())?;
        row("refused (not run)", &|finding| {
            reasons(&finding.report.refused)
        })?;
        row("unknown (may have run)", &|finding| {
            reasons(&finding.report.unknown)
        })?;
        row("lost (no ending) *", &|finding| {
            finding.report.lost.to_string()
        })?;
        row("broken flows *", &|finding| reasons(&finding.report.broken))?;
        row("run twice *", &|finding| finding.run_twice.to_string())?;
        row("ran though refused *", &|finding| {
            finding.ran_after_refusal.to_string()
        })?;
        row("wrong service *", &|finding| {
            finding.report.wrong_service.to_string()
        })?;
        row("wrong answer *", &|finding| {
            finding.report.mismatched.to_string()
        })?;
        row("shed by backend servers", &|finding| {
            finding.shed.to_string()
        })?;
        row("imbalance (max/mean)", &|finding| {
            format!("{:.3}", finding.imbalance)
        })?;
        row("p50 ms", &|finding| milliseconds(finding.report.p50_us))?;
        row("p99 ms", &|finding| milliseconds(finding.report.p99_us))?;
        row("promises (*)", &|finding| {
            let verdict = if finding.has_violation() {
                "BROKEN"
            } else {
                "kept"
            };
            verdict.into()
        })
    }
}

/// Formats the total of counts and, in brackets, the count of each reason.
fn reasons(counts: &BTreeMap<String, u64>) -> String {
    let total: u64 = counts.values().sum();
    let parts = counts
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"));
    let parts: Vec<String> = parts.collect();
    match parts.as_slice() {
        [] => total.to_string(),
        parts => format!("{total} ({})", parts.join(", ")),
    }
}

/// Formats a time in milliseconds with one decimal place, rounded down.
fn milliseconds(microseconds: u64) -> String {
    format!("{}.{}", microseconds / 1000, microseconds % 1000 / 100)
}
