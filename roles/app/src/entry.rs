//! The process of `greengagelug entry`.
//!
//! Traffic threads relay datagrams; the main thread runs the membership
//! protocol, follows the configuration and serves the operators.
pub mod config_reader;
pub mod control;
pub mod discovery;
pub mod evacuation_reader;
pub mod frontend;
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

use crate::change::Tracker;
use crate::clock;
use crate::entry::config_reader::Ranking;
use crate::entry::control::Control;
use crate::entry::control::Input;
use crate::entry::discovery::Discovery;
use crate::entry::frontend::Frontend;
use crate::entry::traffic::Traffic;
use crate::metric;
use crate::metric::Instruments;
use crate::operator;
use crate::settings;
use crate::signal;

/// Capacity of the queue of inputs to the control thread.
const CONTROL_QUEUE: usize = 16 * 1024;

/// Time for which a stopping entry continues to relay, so that replies in flight
/// reach their callers and the other entries learn that it leaves.
const LINGER: Duration = Duration::from_secs(2);

/// Runs the entry until it is stopped by a signal or superseded by a newer
/// process at the same address.
///
/// # Errors
///
/// Returns the operating system's error if an address cannot be bound.
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
        frontend: Frontend::new(settings.fabric),
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
        .spawn(config_reader::run(
            settings.clone(),
            store.clone(),
            events,
            inputs_sender.clone(),
        ))
        .detach();
    let ranking = Ranking::new(settings, events_sender.clone());
    executor
        .spawn(evacuation_reader::run(
            store.clone(),
            ranking.rank(),
            inputs_sender.clone(),
        ))
        .detach();
    let context = operator::Context {
        store,
        snapshot: status::Source {
            control: inputs_sender.clone(),
        },
    };
    executor
        .spawn(operator::serve(operators, context, Arc::clone(&executor)))
        .detach();
    executor
        .spawn(metric::entry::report(
            inputs_sender.clone(),
            settings.metrics_interval,
        ))
        .detach();
    let stopping = wait_for_stop(inputs_sender, events_sender.clone(), settings.stop);
    let control = Control {
        registry: registry(settings, origin),
        origin,
        port,
        traffic,
        inputs,
        instruments: Instruments::default(),
        tracker: Tracker::default(),
        discovery: Discovery::default(),
        ranking,
        listeners: HashMap::new(),
        evacuation: crate::evacuation::Tracker::default(),
    };
    executor.run(control.run().or(stopping)).await;
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
    registry.request_service(now, member::BROADCAST_ADDRESS);
    registry
}

/// Waits for a stop signal, tells the store reader and the other entries that
/// this one leaves, and then gives packets in flight time to arrive.
async fn wait_for_stop(control: Sender<Input>, reader: Sender<Event>, limit: Duration) {
    let signals = signal::subscribe();
    let _ = signals.recv().await;
    let _ = reader.send(Event::Stop).await;
    let _ = control.send(Input::Leave).await;
    Timer::after(LINGER.min(limit)).await;
}
