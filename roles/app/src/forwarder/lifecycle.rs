//! Start and stop of a gateway or sidecar.
use std::path::Path;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

use crate::event::Event;
use crate::forwarder::link::Link;
use crate::settings::table::Role;
use crate::signal::Signal;

/// Longest wait for room in the queue of the control thread during a stop.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);

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

/// Waits for SIGTERM or SIGINT. On SIGHUP, reads the rate of the network link again
/// from the settings file at `boot`: settings that may change while the process runs
/// otherwise arrive with the configuration and the announcements.
pub async fn wait_for_stop(role: Role, signals: Receiver<Signal>, boot: &Path, link: &Link) {
    while let Ok(signal) = signals.recv().await {
        let role = role.name().to_owned();
        match signal {
            Signal::Stop => return Event::Stopping { role }.log(),
            Signal::Replace => {
                Event::Reloading { role }.log();
                match platform::Settings::read(boot) {
                    Ok(host) => link.set_rate(host.link_mbps),
                    Err(error) => log::warn!("{error}"),
                }
            }
        }
    }
}

/// Tells the control thread about a stop. The stop does not wait long for a control
/// thread that is too busy to take it, because the process has to end in time.
pub async fn notify_stop<T>(role: Role, control: &Sender<T>, input: T) {
    let send = async {
        // The control thread ends only with the process.
        let _ = control.send(input).await;
        true
    };
    let expire = async {
        Timer::after(NOTIFY_TIMEOUT).await;
        false
    };
    if !send.or(expire).await {
        let role = role.name().to_owned();
        Event::StopNotAnnounced { role }.log();
    }
}
