//! The process of `greengagelug sidecar`: an agent whose flows are carried
//! unread.
//!
//! One thread reads the packets of the backend server, one the frames of other
//! processes; both act on one core. The main thread runs the membership protocol
//! and takes the backend server's announcements.
mod announcements;
mod control;
mod seeds;
mod traffic;

use std::io;
use std::net::SocketAddr;
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

use crate::carried::lifecycle;
use crate::carried::link::Link;
use crate::carried::reader;
use crate::carried::ready;
use crate::carried::report::Report;
use crate::metric;
use crate::metric::Board;
use crate::settings;
use crate::settings::table::Role;
use crate::sidecar::control::Control;
use crate::sidecar::control::Input;
use crate::sidecar::traffic::Traffic;
use crate::signal;
use crate::signal::Signal;

/// Control messages that wait for the control thread.
const CONTROL_QUEUE: usize = 1024;

/// Time for which entries send new flows elsewhere before a stop.
const NOTICE: Duration = Duration::from_millis(300);

/// Longest wait for requests under way before a stop.
const FINISH: Duration = Duration::from_millis(1_500);

/// Time between two looks whether requests are under way.
const FINISH_CHECK: Duration = Duration::from_millis(20);

/// Share of the time after which an address may serve another service, within
/// which a silent backend server counts as gone.
const SILENCE_SHARE: f64 = 0.9;

/// How much longer than stated the time between two announcements may be.
const LONGEST_HEARTBEAT: f64 = 1.25;

/// Announcements in a row that may be late before a backend server counts as
/// silent.
const SILENT_HEARTBEATS: f64 = 2.5;

/// Runs the sidecar until it has stopped.
///
/// # Errors
///
/// The operating system's error where an address cannot be bound, or the
/// settings file's.
pub fn run(settings: &settings::Sidecar) -> io::Result<()> {
    let host = platform::Settings::read(&settings.0.boot).map_err(io::Error::other)?;
    smol::block_on(start(settings, host))
}

async fn start(settings: &settings::Sidecar, host: platform::Settings) -> io::Result<()> {
    // A signal may come before the process is ready to act on it.
    let signals = signal::watch();
    let origin = Instant::now();
    let executor = Arc::new(Executor::new());
    let seal = Arc::new(settings.0.keys.seal());
    let bind = settings.0.bind.unwrap_or(host.frames());
    let port = Port::bind_blocking(bind, seal, reader::WAIT)?;
    let (Some(servers), Some(backend)) = (host.listen.servers, host.backend) else {
        let text = "the settings name no backend server; run this role beside one";
        return Err(io::Error::other(text));
    };
    let socket = net::port::blocking(servers, reader::WAIT)?;
    let (sender, inputs) = async_channel::bounded(CONTROL_QUEUE);
    let own = Hop {
        target: host.target().unwrap_or_default(),
        address: host.frames(),
    };
    let core = Agent::new(core(&host), own, !host.is_first_start, origin.elapsed());
    let board = Board::default();
    let report = Report::new(&board).map_err(io::Error::other)?;
    let traffic = Arc::new(Traffic {
        core: Mutex::new(core),
        link: Link {
            origin,
            port,
            socket: socket.try_clone()?,
            caller_port: host.caller_port(),
            report,
        },
        backend,
        control: sender.clone(),
    });
    traffic::start(&traffic, socket)?;
    let is_ready = Arc::new(AtomicBool::new(true));
    ready::serve(host.listen.ready, &executor, is_ready).await?;
    if let Some(address) = host.listen.announcements {
        announcements::serve(address, backend, &executor, sender.clone()).await?;
    }
    let http = Http::new(store::http::Settings::new(host.store));
    let store = platform::Client::new(http.clone());
    let metrics = SocketAddr::new(host.address, settings.0.metrics_port);
    let shared = Arc::clone(&traffic);
    let read = move |board: &mut Board| shared.publish(board, &http.counts());
    metric::carried::serve(metrics, &executor, read, board).await?;
    lifecycle::started(Role::Sidecar, &host);
    let finding = seeds::find(store, host.clone(), sender.clone());
    executor.spawn(finding).detach();
    let control = Control {
        seeds: host.seed_frames(),
        announcer: None,
        origin,
        traffic: Arc::clone(&traffic),
        own,
        zone: host.zone_id(),
        inputs,
        backend: None,
    };
    let stopped = stopped(signals, sender, traffic);
    let control = Box::pin(control.run(&host));
    executor.run(control.or(stopped)).await;
    Ok(())
}

fn core(host: &platform::Settings) -> Settings {
    let heard = host.heartbeat_ms.mul_f64(SILENT_HEARTBEATS);
    Settings {
        assumed: heard,
        heartbeat: host.heartbeat_ms.mul_f64(LONGEST_HEARTBEAT),
        silence: heard.min(host.reuse_s.mul_f64(SILENCE_SHARE)),
        oldest_flow: host.oldest_flow_s,
        ..Settings::default()
    }
}

/// Waits for SIGTERM, lets entries send new flows elsewhere, and then lets the
/// requests under way end.
async fn stopped(signals: Receiver<Signal>, control: Sender<Input>, traffic: Arc<Traffic>) {
    lifecycle::stop_requested(Role::Sidecar, signals).await;
    let _ = control.send(Input::Stop).await;
    Timer::after(NOTICE).await;
    let asked = Instant::now();
    while traffic.is_busy() && asked.elapsed() < FINISH {
        Timer::after(FINISH_CHECK).await;
    }
}
