//! The process of `greengagelug gateway`: an entry that forwards flows without
//! reading their content.
//!
//! One thread reads callers' packets and one the frames of other processes; both
//! share one core. The main thread runs the membership protocol, follows the
//! configuration and answers the platform's health checks.
mod announcements;
mod control;
pub mod evacuation;
mod follow;
mod registration;
pub mod rotation;
mod routes;
mod traffic;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
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

use crate::clock;
use crate::forwarder::class::Classes;
use crate::forwarder::lifecycle;
use crate::forwarder::link::Link;
use crate::forwarder::pacer::Pacer;
use crate::forwarder::reader;
use crate::forwarder::ready;
use crate::forwarder::telemetry::Telemetry;
use crate::forwarder::usage::Usage;
use crate::gateway::control::Control;
use crate::gateway::control::Input;
use crate::gateway::evacuation::Evacuation;
use crate::gateway::rotation::Controller;
use crate::gateway::routes::Builder;
use crate::gateway::traffic::Traffic;
use crate::metric;
use crate::metric::Instruments;
use crate::settings;
use crate::settings::table::Role;
use crate::signal;
use crate::signal::Signal;

/// Capacity of the queue of inputs to the control thread.
const CONTROL_QUEUE: usize = 4 * 1024;

/// Time for which a stopping gateway continues to forward packets: four
/// intervals of the platform's health check, so that the platform has stopped
/// sending packets here.
const LINGER: Duration = Duration::from_secs(2);

/// Runs the gateway until it has stopped.
///
/// # Errors
///
/// Returns the operating system's error if an address cannot be bound, or the
/// error of reading the settings file.
pub fn run(settings: &settings::Gateway) -> io::Result<()> {
    let host = platform::Settings::read(&settings.0.boot).map_err(io::Error::other)?;
    smol::block_on(start(settings, host))
}

async fn start(settings: &settings::Gateway, host: platform::Settings) -> io::Result<()> {
    // A signal may arrive before the process is ready to handle it.
    let signals = signal::subscribe();
    let origin = Instant::now();
    let executor = Arc::new(Executor::new());
    let seal = Arc::new(settings.0.keys.seal());
    let frames = host.frame_address();
    let bind = settings.0.bind.unwrap_or(frames);
    let port = Port::bind_blocking(bind, seal, reader::POLL_TIMEOUT)?;
    let callers = net::port::bind_blocking_socket(host.listen.packets, reader::POLL_TIMEOUT)?;
    let (sender, inputs) = async_channel::bounded(CONTROL_QUEUE);
    let place = route::placement::Settings {
        fixed_crossing_cost: settings.0.crossing_cost,
        ..route::placement::Settings::default()
    };
    let core = Entry::new(
        forward::entry::Settings {
            place,
            ..forward::entry::Settings::default()
        },
        frames,
        host.zone_id(),
        fastrand::u64(..),
        origin.elapsed(),
    );
    let instruments = Instruments::default();
    let telemetry = Telemetry::new(&instruments).map_err(io::Error::other)?;
    let traffic = Arc::new(Traffic {
        core: Mutex::new(core),
        link: Link {
            origin,
            port,
            socket: callers.try_clone()?,
            caller_port: host.caller_port(),
            telemetry,
            pacer: Pacer::new(host.link_mbps, origin.elapsed()),
            classes: Classes::default(),
            role: Role::Gateway,
            usage: Usage::new(host.zone_id()),
        },
        control: sender.clone(),
        evacuation: Mutex::default(),
    });
    traffic::start(&traffic, callers)?;
    let is_ready = Arc::new(AtomicBool::new(false));
    let in_rotation = Arc::new(AtomicBool::new(true));
    let conditions = vec![Arc::clone(&is_ready), Arc::clone(&in_rotation)];
    ready::serve(host.listen.ready, &executor, conditions).await?;
    if let Some(address) = host.listen.announcements {
        announcements::serve(address, &executor).await?;
    }
    let http = Http::new(store::http::Settings::new(host.store));
    let store = platform::Client::new(http.clone());
    let metrics = SocketAddr::new(host.address, settings.0.metrics_port);
    let shared = Arc::clone(&traffic);
    let read = move |instruments: &mut Instruments| shared.publish(instruments, &http.counts());
    metric::forwarder::serve(metrics, &executor, read, instruments).await?;
    lifecycle::log_start(Role::Gateway, &host);
    let is_confirmed = Arc::new(AtomicBool::new(false));
    let (restored, on_restore) = async_channel::bounded(1);
    let confirmed = Arc::clone(&is_confirmed);
    let zones = host.evacuation_ms.map(|_| host.zones.clone());
    let follower = follow::run(store.clone(), sender.clone(), confirmed, restored, zones);
    executor.spawn(follower).detach();
    let registration = registration::run(store, frames, sender.clone(), on_restore);
    executor.spawn(registration).detach();
    let identity = identity(&host);
    let control = Control {
        rotation: Controller::new(identity.clone(), in_rotation, origin.elapsed()),
        registry: registry(&host, identity, origin),
        origin,
        traffic: Arc::clone(&traffic),
        inputs,
        builder: Builder::new(host.oldest_flow_s),
        is_confirmed,
        stored_version: 0,
        is_ready: Arc::clone(&is_ready),
        has_been_ready: false,
        seeds: host.seed_frame_addresses(),
        requested: BTreeSet::new(),
        tracker: crate::change::Tracker::default(),
        evacuation: Evacuation::new(&host, origin.elapsed()),
        next_zones: Duration::ZERO,
    };
    traffic.link.log_rate();
    let stopping = wait_for_stop(signals, sender, is_ready, &settings.0.boot, &traffic.link);
    executor.run(control.run().or(stopping)).await;
    Ok(())
}

fn identity(host: &platform::Settings) -> Identity {
    Identity {
        address: host.frame_address(),
        zone: host.zone_id(),
        incarnation: clock::incarnation(),
    }
}

fn registry(host: &platform::Settings, identity: Identity, origin: Instant) -> Registry {
    let now = origin.elapsed();
    let settings = member::Settings::default();
    let mut registry = Registry::new(settings, identity, fastrand::u64(..), now);
    registry.join(now, &host.seed_frame_addresses());
    registry.request_service(now, routes::DOCUMENT_ADDRESS);
    if host.evacuation_ms.is_some() {
        registry.request_service(now, member::BROADCAST_ADDRESS);
    }
    registry
}

/// Waits for a stop signal, reports this gateway as not ready to the platform and
/// as leaving to the other entries, and then waits for packets in flight.
async fn wait_for_stop(
    signals: Receiver<Signal>,
    control: Sender<Input>,
    is_ready: Arc<AtomicBool>,
    boot: &Path,
    link: &Link,
) {
    lifecycle::wait_for_stop(Role::Gateway, signals, boot, link).await;
    is_ready.store(false, Ordering::Relaxed);
    lifecycle::notify_stop(Role::Gateway, &control, Input::Leave).await;
    Timer::after(LINGER).await;
}
