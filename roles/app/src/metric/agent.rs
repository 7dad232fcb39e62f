//! Metrics of an agent.
use std::time::Duration;

use agent::Status;
use agent::status::Counter;
use async_channel::Sender;
use async_io::Timer;

use super::Error;
use super::Instruments;
use crate::agent::Input;

/// Copies the counters and sizes of an agent to the instruments.
///
/// # Errors
///
/// Returns [`Error::Unknown`] if a metric is not in the table.
pub fn publish(instruments: &mut Instruments, status: &Status) -> Result<(), Error> {
    instruments.set_size("flows", status.flows)?;
    instruments.set_size("flows.bytes", status.flow_bytes)?;
    instruments.set_size("flows.parked", status.parked)?;
    instruments.set_size("pins", status.pins)?;
    instruments.set_size("pins.bytes", status.pin_bytes)?;
    instruments.set_size("records", status.records)?;
    instruments.set_size("records.bytes", status.record_bytes)?;
    instruments.set_size("requests", status.tasks)?;
    let wait = status.expected_wait.as_millis();
    instruments.set("requests.wait", "", u64::try_from(wait).unwrap_or(u64::MAX))?;
    instruments.set("weight", "", status.weight.into())?;
    for refusals in status.counters.refusals() {
        let reason = refusals.reason.as_str_name().to_lowercase();
        instruments.set("requests.refused", &reason, refusals.count)?;
    }
    for counted in status.counters.iter() {
        let series = series(counted.counter);
        instruments.set(series.metric, series.reason, counted.count)?;
    }
    Ok(())
}

/// Logs the metrics at an interval until the agent has stopped; never if the
/// interval is zero.
pub async fn report(inputs: Sender<Input>, interval: Duration) {
    let mut instruments = Instruments::default();
    while !interval.is_zero() {
        Timer::after(interval).await;
        let (reply, status) = async_channel::bounded(1);
        let _ = inputs.send(Input::Status(reply)).await;
        let Ok(status) = status.recv().await else {
            return;
        };
        let read = publish(&mut instruments, &status).and_then(|()| instruments.read());
        super::log(read);
    }
}

/// Metric and reason under which a counter is published.
struct Series {
    metric: &'static str,
    reason: &'static str,
}

const fn series(counter: Counter) -> Series {
    let (metric, reason) = match counter {
        Counter::Opened => ("flows.opened", ""),
        Counter::Closed => ("flows.ended", "closed"),
        Counter::Expired => ("flows.ended", "expired"),
        Counter::HalfOpenExpired => ("flows.ended", "half_open"),
        Counter::PacketForwarded => ("packets.handed_along", ""),
        Counter::OpenForwarded => ("opens.passed", ""),
        Counter::RequestAdmitted => ("requests.admitted", ""),
        Counter::RequestRepeated => ("requests.repeated", ""),
        Counter::RequestAnswered => ("requests.answered", ""),
        Counter::RequestPassed => ("requests.retried", "passed"),
        Counter::RetryNotRun => ("requests.retried", "not_run"),
        Counter::RetryIdempotent => ("requests.retried", "idempotent"),
        Counter::RetryBudgetSpent => ("retries.refused", "budget_spent"),
        Counter::OfferAccepted => ("offers.taken", ""),
        Counter::OfferRefused => ("offers.refused", ""),
        Counter::SpoofedClose => ("packets.refused", "spoofed_close"),
        Counter::SpoofedCancel => ("packets.refused", "spoofed_cancel"),
        Counter::ForeignCaller => ("packets.refused", "foreign_caller"),
        Counter::ForeignService => ("packets.refused", "foreign_service"),
        Counter::UnexpectedFrame => ("packets.refused", "unexpected_frame"),
        Counter::MalformedFrame => ("packets.refused", "malformed_frame"),
        Counter::UnexpectedPacket => ("packets.refused", "unexpected_packet"),
        Counter::AwaitingState => ("packets.refused", "awaiting_state"),
        Counter::Unanswered => ("packets.refused", "kept_silent"),
        Counter::PinTableFull => ("pins.refused", "table_full"),
        Counter::StalePin => ("pins.refused", "stale"),
        Counter::Inherited => ("flows.inherited", ""),
    };
    Series { metric, reason }
}
