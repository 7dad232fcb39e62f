//! Compact JSON lines: time, level, number of the event, text.
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Record;
use log::kv::Key;
use log4rs::encode::Encode;
use log4rs::encode::Write;
use serde::Serialize;

/// Encoder of compact JSON lines.
#[derive(Debug)]
pub struct Compact;

#[derive(Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch, by the host's clock.
    time_ms: u128,
    level: &'a str,
    /// Number in the catalogue of events; 0 for a line without one.
    event: u64,
    text: String,
}

impl Encode for Compact {
    fn encode(&self, writer: &mut dyn Write, record: &Record) -> anyhow::Result<()> {
        let number = record.key_values().get(Key::from_str("event"));
        let age = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = Line {
            time_ms: age.unwrap_or_default().as_millis(),
            level: record.level().as_str(),
            event: number
                .and_then(|number| number.to_u64())
                .unwrap_or_default(),
            text: record.args().to_string(),
        };
        let mut text = serde_json::to_vec(&line)?;
        text.push(b'\n');
        writer.write_all(&text)?;
        Ok(())
    }
}
