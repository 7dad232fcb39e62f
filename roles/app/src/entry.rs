//! The process of `greengagelug entry`.
//!
//! Traffic threads relay datagrams; the main thread runs the membership
//! protocol, follows the configuration and serves the operators.
pub mod control;
pub mod edge;
pub mod reading;
pub mod seek;
pub mod status;
pub mod traffic;

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::Sender;
use async_io::Timer;
use config::reader::Event;
use futures_lite::FutureExt;
use member::Registry;
use member::registry::Identity;
use net::Port;
use smol::Executor;
use smol::net::TcpListener;
use store::Http;

use crate::clock;
use crate::entry::control::Control;
use crate::entry::control::Input;
use crate::entry::edge::Edge;
use crate::entry::reading::Ranking;
use crate::entry::seek::Seek;
use crate::entry::traffic::Traffic;
use crate::metric;
use crate::metric::Board;
use crate::operator;
use crate::settings;
use crate::signal;
use crate::watch::Watch;

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
    let executor = Arc::new(Executor::new());
    let port = Port::bind(settings.listen, Arc::new(settings.keys.seal()))?;
    let operators = TcpListener::bind(settings.operator).await?;
    let (inputs_sender, inputs) = async_channel::bounded(CONTROL_QUEUE);
    let traffic = Arc::new(Traffic {
        port: port.clone(),
        edge: Edge::new(settings.fabric),
        executor: Executor::new(),
        router: ArcSwap::default(),
        control: inputs_sender.clone(),
        counters: traffic::Counters::default(),
    });
    for number in 0..settings.threads.max(1) {
        let traffic = Arc::clone(&traffic);
        thread::Builder::new()
            .name(format!("traffic-{number}"))
            .spawn(move || smol::block_on(traffic.run()))?;
    }
    let store = Http::new(store::http::Settings::new(settings.store));
    let (events_sender, events) = async_channel::unbounded();
    executor
        .spawn(reading::run(
            settings.clone(),
            store.clone(),
            events,
            inputs_sender.clone(),
        ))
        .detach();
    let context = operator::Context {
        store,
        snapshot: status::Inquiry {
            control: inputs_sender.clone(),
        },
    };
    executor
        .spawn(operator::serve(operators, context, Arc::clone(&executor)))
        .detach();
    executor
        .spawn(metric::entry::report(
            inputs_sender.clone(),
            settings.metrics,
        ))
        .detach();
    let stopped = stopped(inputs_sender, events_sender.clone(), settings.stop);
    let control = Control {
        registry: registry(settings, origin),
        origin,
        port,
        traffic,
        inputs,
        board: Board::default(),
        watch: Watch::default(),
        seek: Seek::default(),
        ranking: Ranking::new(settings, events_sender),
        listeners: HashMap::new(),
    };
    executor.run(control.run().or(stopped)).await;
    Ok(())
}

fn registry(settings: &settings::Entry, origin: Instant) -> Registry {
    let identity = Identity {
        address: settings.listen,
        zone: settings.zone,
        incarnation: clock::incarnation(),
    };
    let now = origin.elapsed();
    let mut registry = Registry::new(
        member::Settings::default(),
        identity,
        fastrand::u64(..),
        now,
    );
    registry.join(now, &settings.peers);
    registry
}

/// Waits for SIGTERM, says so to the other entries, and then waits for what is
/// under way to arrive.
async fn stopped(control: Sender<Input>, reading: Sender<Event>, limit: Duration) {
    let signals = signal::watch();
    let _ = signals.recv().await;
    let _ = reading.send(Event::Stop).await;
    let _ = control.send(Input::Leave).await;
    Timer::after(LINGER.min(limit)).await;
}
