//! Start and stop of a gateway or sidecar.
use async_channel::Receiver;

use crate::event::Event;
use crate::settings::table::Role;
use crate::signal::Signal;

/// Logs that the process has started.
pub fn log_start(role: Role, host: &platform::Settings) {
    let starting = Event::CarrierStarting {
        role: role.name().to_owned(),
        host: host.host.clone(),
        zone: host.zone.clone(),
        frames: host.frame_address(),
    };
    starting.log();
}

/// Waits for SIGTERM or SIGINT. Settings that may change while the process runs
/// arrive with the configuration and the announcements, so SIGHUP is only logged.
pub async fn wait_for_stop(role: Role, signals: Receiver<Signal>) {
    while let Ok(signal) = signals.recv().await {
        let role = role.name().to_owned();
        match signal {
            Signal::Stop => return Event::Stopping { role }.log(),
            Signal::Replace => Event::Reloading { role }.log(),
        }
    }
}
