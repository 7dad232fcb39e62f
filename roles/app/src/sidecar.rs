//! The process of `greengagelug sidecar`: an agent that forwards flows without
//! reading their content.
//!
//! One thread reads the packets of the backend server and one the frames of other
//! processes; both share one core. The main thread runs the membership protocol
//! and accepts the backend server's announcements.
pub mod announcements;
mod class;
pub mod control;
pub mod evacuation;
mod presence;
mod seeds;
mod traffic;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use forward::Agent;
use forward::agent::Settings;
use futures_lite::FutureExt;
use net::Port;
use smol::Executor;
use store::Http;
use wire::Hop;

use crate::forwarder::class::Classes;
use crate::forwarder::lifecycle;
use crate::forwarder::link::Link;
use crate::forwarder::pacer::Pacer;
use crate::forwarder::reader;
use crate::forwarder::ready;
use crate::forwarder::telemetry::Telemetry;
use crate::forwarder::usage::Usage;
use crate::metric;
use crate::metric::Instruments;
use crate::settings;
use crate::settings::table::Role;
use crate::sidecar::control::Control;
use crate::sidecar::control::Input;
use crate::sidecar::evacuation::Evacuation;
use crate::sidecar::traffic::Traffic;
use crate::signal;
use crate::signal::Signal;

/// Capacity of the queue of inputs to the control thread.
const CONTROL_QUEUE: usize = 1024;

/// Time between announcing a stop and draining, in which entries begin to send new
/// flows elsewhere.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// Longest wait for running requests before a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a stopping sidecar checks whether requests are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Upper bound of the announcement timeout, as a fraction of the time after which
/// the backend server's address may be reused for another service. A silent
/// backend server must stop getting new flows before that.
const SILENCE_REUSE_SHARE: f64 = 0.9;

/// Longest time between two announcements, as a multiple of the heartbeat
/// interval in the settings.
const MAX_HEARTBEAT_FACTOR: f64 = 1.25;

/// Number of heartbeat intervals without an announcement after which a backend
/// server gets no new flows. Also the time after the start for which a backend
/// server that may have run before is assumed to be ready.
const SILENCE_HEARTBEATS: f64 = 2.5;

/// Runs the sidecar until it has stopped.
///
/// # Errors
///
/// Returns the operating system's error if an address cannot be bound, or the
/// error of reading the settings file.
pub fn run(settings: &settings::Sidecar) -> io::Result<()> {
    let host = platform::Settings::read(&settings.0.boot).map_err(io::Error::other)?;
    smol::block_on(start(settings, host))
}

async fn start(settings: &settings::Sidecar, host: platform::Settings) -> io::Result<()> {
    // A signal may arrive before the process is ready to handle it.
    let signals = signal::subscribe();
    let origin = Instant::now();
    let executor = Arc::new(Executor::new());
    let seal = Arc::new(settings.0.keys.seal());
    let bind = settings.0.bind.unwrap_or(host.frame_address());
    let port = Port::bind_blocking(bind, seal, reader::POLL_TIMEOUT)?;
    let (Some(servers), Some(backend)) = (host.listen.servers, host.backend) else {
        let text = "the settings file lacks `listen.servers` or `backend`; run a sidecar only on a host with a backend server";
        return Err(io::Error::other(text));
    };
    let socket = net::port::bind_blocking_socket(servers, reader::POLL_TIMEOUT)?;
    let (sender, inputs) = async_channel::bounded(CONTROL_QUEUE);
    let own = Hop {
        target: host.target().unwrap_or_default(),
        address: host.frame_address(),
    };
    let core = Agent::new(
        core_settings(&host),
        own,
        !host.is_first_start,
        origin.elapsed(),
    );
    let instruments = Instruments::default();
    let telemetry = Telemetry::new(&instruments).map_err(io::Error::other)?;
    let traffic = Arc::new(Traffic {
        core: Mutex::new(core),
        link: Link {
            origin,
            port,
            socket: socket.try_clone()?,
            caller_port: host.caller_port(),
            telemetry,
            pacer: Pacer::new(host.link_mbps, origin.elapsed()),
            classes: Classes::default(),
            role: Role::Sidecar,
            usage: Usage::new(host.zone_id()),
        },
        backend,
        control: sender.clone(),
    });
    traffic::start(&traffic, socket)?;
    let is_ready = Arc::new(AtomicBool::new(true));
    ready::serve(host.listen.ready, &executor, vec![is_ready]).await?;
    if let Some(address) = host.listen.announcements {
        let backend = announcements::Backend {
            address: backend,
            service: host.service.clone(),
            boot: settings.0.boot.clone(),
            origin,
            filter: Arc::default(),
        };
        announcements::serve(address, backend, &executor, sender.clone()).await?;
    }
    let http = Http::new(store::http::Settings::new(host.store));
    let store = platform::Client::new(http.clone());
    let metrics = SocketAddr::new(host.address, settings.0.metrics_port);
    let shared = Arc::clone(&traffic);
    let read = move |instruments: &mut Instruments| shared.publish(instruments, &http.counts());
    metric::forwarder::serve(metrics, &executor, read, instruments).await?;
    lifecycle::log_start(Role::Sidecar, &host);
    let presence = presence::watch(backend, Arc::clone(&traffic));
    executor.spawn(presence).detach();
    let discovery = seeds::discover(store, host.clone(), sender.clone());
    executor.spawn(discovery).detach();
    let control = Control {
        seeds: host.seed_frame_addresses(),
        announcer: None,
        origin,
        traffic: Arc::clone(&traffic),
        own,
        zone: host.zone_id(),
        inputs,
        announcement: None,
        evacuation: Evacuation::new(host.zone_id()),
        repeats: (0, 0),
        next_repeats: Duration::ZERO,
    };
    traffic.link.log_rate();
    let stopping = wait_for_stop(signals, sender, traffic, &settings.0.boot);
    let control = Box::pin(control.run(&host));
    executor.run(control.or(stopping)).await;
    Ok(())
}

/// Returns the core's settings, with the time-outs derived from the settings file.
fn core_settings(host: &platform::Settings) -> Settings {
    let silence = host.heartbeat_ms.mul_f64(SILENCE_HEARTBEATS);
    Settings {
        assumed_ready_time: silence,
        max_announcement_interval: host.heartbeat_ms.mul_f64(MAX_HEARTBEAT_FACTOR),
        announcement_timeout: silence.min(host.reuse_s.mul_f64(SILENCE_REUSE_SHARE)),
        max_flow_age: host.oldest_flow_s,
        warm_up: host.cold_factor.map(|factor| limit::warm_up::Settings {
            factor,
            slack: host.cold_slack.unwrap_or_default(),
        }),
        ..Settings::default()
    }
}

/// Waits for a stop signal, gives entries time to send new flows elsewhere, and
/// then waits for running requests to finish.
async fn wait_for_stop(
    signals: Receiver<Signal>,
    control: Sender<Input>,
    traffic: Arc<Traffic>,
    boot: &Path,
) {
    lifecycle::wait_for_stop(Role::Sidecar, signals, boot, &traffic.link).await;
    lifecycle::notify_stop(Role::Sidecar, &control, Input::Stop).await;
    Timer::after(STOP_NOTICE).await;
    let drain_start = Instant::now();
    while traffic.is_busy() && drain_start.elapsed() < DRAIN_TIMEOUT {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}
