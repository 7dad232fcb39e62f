//! The process of `greengagelug gateway`: an entry whose flows are carried
//! unread.
//!
//! One thread reads callers' packets, one the frames of other processes; both
//! act on one core. The main thread runs the membership protocol, follows the
//! configuration and answers the platform.
mod announcements;
mod control;
mod follow;
mod presence;
mod routes;
mod traffic;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use forward::Entry;
use futures_lite::FutureExt;
use member::Registry;
use member::registry::Identity;
use net::Port;
use smol::Executor;
use store::Http;

use crate::carried::lifecycle;
use crate::carried::link::Link;
use crate::carried::reader;
use crate::carried::ready;
use crate::carried::report::Report;
use crate::clock;
use crate::gateway::control::Control;
use crate::gateway::control::Input;
use crate::gateway::routes::Builder;
use crate::gateway::traffic::Traffic;
use crate::metric;
use crate::metric::Board;
use crate::settings;
use crate::settings::table::Role;
use crate::signal;
use crate::signal::Signal;

/// Control messages that wait for the control thread.
const CONTROL_QUEUE: usize = 4 * 1024;

/// Time that a stopping gateway goes on carrying packets, so that the platform
/// sends them elsewhere first: four of its questions whether it takes traffic.
const LINGER: Duration = Duration::from_secs(2);

/// Runs the gateway until it has stopped.
///
/// # Errors
///
/// The operating system's error where an address cannot be bound, or the
/// settings file's.
pub fn run(settings: &settings::Gateway) -> io::Result<()> {
    let host = platform::Settings::read(&settings.0.boot).map_err(io::Error::other)?;
    smol::block_on(start(settings, host))
}

async fn start(settings: &settings::Gateway, host: platform::Settings) -> io::Result<()> {
    // A signal may come before the process is ready to act on it.
    let signals = signal::watch();
    let origin = Instant::now();
    let executor = Arc::new(Executor::new());
    let seal = Arc::new(settings.0.keys.seal());
    let frames = host.frames();
    let bind = settings.0.bind.unwrap_or(frames);
    let port = Port::bind_blocking(bind, seal, reader::WAIT)?;
    let callers = net::port::blocking(host.listen.packets, reader::WAIT)?;
    let (sender, inputs) = async_channel::bounded(CONTROL_QUEUE);
    let core = Entry::new(
        forward::entry::Settings::default(),
        frames,
        host.zone_id(),
        fastrand::u64(..),
        origin.elapsed(),
    );
    let board = Board::default();
    let report = Report::new(&board).map_err(io::Error::other)?;
    let traffic = Arc::new(Traffic {
        core: Mutex::new(core),
        link: Link {
            origin,
            port,
            socket: callers.try_clone()?,
            caller_port: host.caller_port(),
            report,
        },
        control: sender.clone(),
    });
    traffic::start(&traffic, callers)?;
    let is_ready = Arc::new(AtomicBool::new(false));
    ready::serve(host.listen.ready, &executor, Arc::clone(&is_ready)).await?;
    if let Some(address) = host.listen.announcements {
        announcements::serve(address, &executor).await?;
    }
    let http = Http::new(store::http::Settings::new(host.store));
    let store = platform::Client::new(http.clone());
    let metrics = SocketAddr::new(host.address, settings.0.metrics_port);
    let shared = Arc::clone(&traffic);
    let read = move |board: &mut Board| shared.publish(board, &http.counts());
    metric::carried::serve(metrics, &executor, read, board).await?;
    lifecycle::started(Role::Gateway, &host);
    let is_confirmed = Arc::new(AtomicBool::new(false));
    let following = follow::run(store.clone(), sender.clone(), Arc::clone(&is_confirmed));
    executor.spawn(following).detach();
    executor
        .spawn(presence::run(store, frames, sender.clone()))
        .detach();
    let control = Control {
        registry: registry(&host, origin),
        origin,
        traffic,
        inputs,
        builder: Builder::default(),
        is_confirmed,
        is_ready: Arc::clone(&is_ready),
        seeds: host.seed_frames(),
        needed: BTreeSet::new(),
        watch: crate::watch::Watch::default(),
    };
    let stopped = stopped(signals, sender, is_ready);
    executor.run(control.run().or(stopped)).await;
    Ok(())
}

fn registry(host: &platform::Settings, origin: Instant) -> Registry {
    let identity = Identity {
        address: host.frames(),
        zone: host.zone_id(),
        incarnation: clock::incarnation(),
    };
    let now = origin.elapsed();
    let settings = member::Settings::default();
    let mut registry = Registry::new(settings, identity, fastrand::u64(..), now);
    registry.join(now, &host.seed_frames());
    registry.need(now, routes::DOCUMENT);
    registry
}

/// Waits for SIGTERM, tells the platform and the other entries, and then lets
/// the packets under way arrive.
async fn stopped(signals: Receiver<Signal>, control: Sender<Input>, is_ready: Arc<AtomicBool>) {
    lifecycle::stop_requested(Role::Gateway, signals).await;
    is_ready.store(false, Ordering::Relaxed);
    let _ = control.send(Input::Leave).await;
    Timer::after(LINGER).await;
}
