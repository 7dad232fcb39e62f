//! The metrics of an entry.
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use member::Registry;
use net::port::Named;

use super::Board;
use super::Error;
use crate::entry::control::Input;
use crate::entry::traffic::Traffic;

/// Copies what an entry counted to the board.
///
/// # Errors
///
/// [`Error::Unknown`] where a counter is not in the table of metrics.
pub fn publish(board: &mut Board, registry: &Registry, traffic: &Traffic) -> Result<(), Error> {
    for named in traffic.counters.all() {
        set(board, &named, "packets.refused")?;
    }
    for named in traffic.port.counters().all() {
        set(board, &named, "port.refused")?;
    }
    let status = registry.status();
    board.set("control.sent", "", status.sent)?;
    board.set("control.sent_bytes", "", status.sent_bytes)?;
    board.set("control.received", "", status.received)?;
    board.set("control.received_bytes", "", status.received_bytes)?;
    board.set("control.suspicions", "", status.suspicions)?;
    board.set("control.self_doubts", "", status.self_doubts)?;
    for (reason, count) in &status.refusals {
        let reason = format!("{reason:?}").to_lowercase();
        board.set("control.refused", &reason, *count)?;
    }
    board.set_size("services", status.services)?;
    board.set_size("targets", status.targets)?;
    board.set_size("targets.silent", status.silent)?;
    board.set_size("entries", status.entries)?;
    board.set_size("zones.lost", status.lost_zones)?;
    let configs = registry.services().filter_map(|view| view.config.as_ref());
    let revision = configs.map(|config| config.revision).max();
    board.set("revision", "", revision.unwrap_or_default())
}

/// Logs the metrics at an interval, until the entry has stopped.
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

/// Sets a counter whose name may end in a reason: `port.refused.bad_tag`.
fn set(board: &mut Board, named: &Named<'_>, refusals: &str) -> Result<(), Error> {
    let value = named.value.load(Ordering::Relaxed);
    match named.name.split_once("refused.") {
        Some((_, reason)) => board.set(refusals, reason, value),
        None => board.set(named.name, "", value),
    }
}
