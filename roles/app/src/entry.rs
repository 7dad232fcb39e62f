//! The process of `greengagelug entry`.
//!
//! Traffic threads relay datagrams; the main thread runs the membership
//! protocol, follows the configuration and serves the operators.
pub mod control;
pub mod traffic;

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_io::Timer;
use member::Registry;
use member::registry::Identity;
use net::Port;

use crate::clock;
use crate::settings;
use crate::signal;

/// Control messages that wait for the control thread.
const CONTROL_QUEUE: usize = 16 * 1024;

/// Time that a stopping entry goes on relaying, so that replies under way reach
/// their callers and the other entries learn that it leaves.
const LINGER: Duration = Duration::from_secs(2);

/// Runs the entry until it has stopped.
///
/// # Errors
///
/// The operating system's error where an address cannot be bound.
pub fn run(settings: &settings::Entry) -> io::Result<()> {
    smol::block_on(start(settings))
}

async fn start(settings: &settings::Entry) -> io::Result<()> {
    let origin = Instant::now();
    let port = Port::bind(settings.listen, Arc::new(settings.keys.seal()))?;
    let (control, inputs) = async_channel::bounded(CONTROL_QUEUE);
    let traffic = Arc::new(traffic::Traffic {
        port: port.clone(),
        fabric: settings.fabric,
        router: ArcSwap::default(),
        control: control.clone(),
        counters: traffic::Counters::default(),
    });
    for number in 0..settings.threads.max(1) {
        let traffic = Arc::clone(&traffic);
        thread::Builder::new()
            .name(format!("traffic-{number}"))
            .spawn(move || smol::block_on(traffic.run()))?;
    }
    let mut registry = Registry::new(
        member::Settings::default(),
        Identity {
            address: settings.listen,
            control: settings.control,
            zone: settings.zone,
            incarnation: clock::incarnation(),
        },
        fastrand::u64(..),
        origin.elapsed(),
    );
    registry.join(origin.elapsed(), &settings.peers);
    let control = control::Control {
        registry,
        origin,
        port,
        traffic,
        inputs,
        inputs_sender: control,
    };
    control.run(settings, stopped()).await
}

/// Waits for SIGTERM, and for what is under way to arrive.
async fn stopped() {
    let signals = signal::watch();
    let _ = signals.recv().await;
    Timer::after(LINGER).await;
}
