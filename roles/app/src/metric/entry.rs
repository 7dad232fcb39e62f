//! Metrics of an entry.
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use config::era;
use member::Registry;
use net::port::Counter;

use super::Error;
use super::Instruments;
use crate::entry::control::Input;
use crate::entry::traffic::Traffic;

/// Copies the counters and sizes of an entry to the instruments.
///
/// # Errors
///
/// Returns [`Error::Unknown`] if a metric is not in the table.
pub fn publish(
    instruments: &mut Instruments,
    registry: &Registry,
    traffic: &Traffic,
) -> Result<(), Error> {
    for named in traffic.counters.all() {
        set(instruments, &named, "packets.refused")?;
    }
    for named in traffic.port.counters().all() {
        set(instruments, &named, "port.refused")?;
    }
    let status = registry.status();
    instruments.set("control.sent", "", status.sent)?;
    instruments.set("control.sent_bytes", "", status.sent_bytes)?;
    instruments.set("control.received", "", status.received)?;
    instruments.set("control.received_bytes", "", status.received_bytes)?;
    instruments.set("control.suspicions", "", status.suspicions)?;
    instruments.set("control.self_doubts", "", status.self_doubts)?;
    for (reason, count) in &status.refusals {
        let reason = format!("{reason:?}").to_lowercase();
        instruments.set("control.refused", &reason, *count)?;
    }
    instruments.set_size("services", status.services)?;
    instruments.set_size("targets", status.targets)?;
    instruments.set_size("targets.silent", status.silent_targets)?;
    instruments.set_size("entries", status.entries)?;
    instruments.set_size("zones.lost", status.lost_zones)?;
    let configs = registry.views().filter_map(|view| view.config.as_ref());
    let revision = configs.map(|config| config.revision).max();
    instruments.set("revision", "", era::number(revision.unwrap_or_default()))
}

/// Logs the metrics at an interval until the entry has stopped; never if the
/// interval is zero.
pub async fn report(control: Sender<Input>, interval: Duration) {
    while !interval.is_zero() {
        Timer::after(interval).await;
        let (reply, samples) = async_channel::bounded(1);
        let _ = control.send(Input::Metrics(reply)).await;
        let Ok(samples) = samples.recv().await else {
            return;
        };
        super::log(Ok(samples));
    }
}

/// Sets the metric of a counter. If its name ends in a reason, as in
/// `port.refused.bad_tag`, the metric is `refusals` with that reason.
fn set(instruments: &mut Instruments, named: &Counter<'_>, refusals: &str) -> Result<(), Error> {
    let value = named.value.load(Ordering::Relaxed);
    match named.name.split_once("refused.") {
        Some((_, reason)) => instruments.set(refusals, reason, value),
        None => instruments.set(named.name, "", value),
    }
}
