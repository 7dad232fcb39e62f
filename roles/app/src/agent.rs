//! The process of `greengagelug agent`.
//!
//! The traffic thread runs the agent's core and relays frames; the main thread
//! runs the membership protocol and serves the calls of peers.
pub mod control;
pub mod driver;
pub mod peer;
pub mod worker;

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ::agent::Agent;
use ::agent::Event;
use ::agent::Status;
use ::agent::settings::Leave;
use async_channel::Sender;
use member::Announcer;
use net::Port;
use net::backend;
use smol::net::TcpListener;
use wire::Frame;
use wire::Target;
use wire::id::target_id;
use wire::target::State;

use crate::agent::driver::Driver;
use crate::agent::worker::Worker;
use crate::clock;
use crate::metric;
use crate::settings;
use crate::signal;

/// Capacity of the queue of inputs to the control thread.
const CONTROL_QUEUE: usize = 4096;

/// Capacity announced until the real one has been learned, in requests per second
/// and slot.
const INITIAL_WEIGHT_PER_SLOT: u32 = 20;

/// An input to the traffic thread from other threads and tasks.
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A call of a peer.
    Call {
        /// The call.
        call: peer::Call,
        /// Channel for the answer.
        reply: Sender<peer::Answer>,
    },
    /// A request for the counters.
    Status(Sender<Status>),
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Self::Event(event)
    }
}

/// Runs the agent until it has stopped.
///
/// # Errors
///
/// Returns the operating system's error if an address cannot be bound.
pub fn run(settings: &settings::Agent) -> io::Result<()> {
    smol::block_on(start(settings))
}

async fn start(settings: &settings::Agent) -> io::Result<()> {
    let origin = Instant::now();
    let seal = Arc::new(settings.keys.seal());
    let port = Port::bind(settings.listen, Arc::clone(&seal))?;
    let listener = TcpListener::bind(settings.control).await?;
    let target = target(settings);
    let (inputs_sender, inputs) = async_channel::unbounded();
    let (control_sender, control_inputs) = async_channel::bounded(CONTROL_QUEUE);

    smol::spawn(peer::serve(
        listener,
        Arc::clone(&seal),
        inputs_sender.clone(),
    ))
    .detach();
    smol::spawn(stop_on_signal(inputs_sender.clone())).detach();
    smol::spawn(metric::agent::report(
        inputs_sender.clone(),
        settings.metrics_interval,
    ))
    .detach();

    let control = control::Control {
        announcer: announcer(settings, &target, origin),
        origin,
        port: port.clone(),
        target: target.id,
        inputs: control_inputs,
        worker: inputs_sender.clone(),
        drained: false,
        changed: false,
        superseded: false,
        evacuation: crate::evacuation::Tracker::default(),
    };
    let core = core(settings, target, origin);
    let client = backend::Client::new(settings.backend, config::service::MAX_ANSWER_BYTES as usize);
    let pool = peer::Pool::new(seal);
    let sender = control_sender.clone();
    let traffic_port = port.clone();
    let traffic = thread::Builder::new()
        .name("traffic".to_string())
        .spawn(move || {
            let driver = Driver::new(
                traffic_port.clone(),
                origin,
                client,
                pool,
                inputs_sender,
                sender.clone(),
            );
            let worker = Worker {
                core,
                origin,
                port: traffic_port,
                inputs,
                control: sender,
                driver,
            };
            let result = smol::block_on(worker::run(worker));
            let _ = control_sender.send_blocking(control::Input::Leave);
            smol::spawn(receive_control(port, control_sender)).detach();
            result
        })?;
    control.run().await;
    traffic.join().unwrap_or(Ok(()))
}

fn announcer(settings: &settings::Agent, target: &Target, origin: Instant) -> Announcer {
    Announcer::new(
        member::Settings::default(),
        target.clone(),
        settings.seeds.clone(),
        fastrand::u64(..),
        origin.elapsed(),
    )
}

fn core(settings: &settings::Agent, target: Target, origin: Instant) -> Agent {
    let settings = ::agent::Settings {
        leave: leave_settings(settings.stop),
        ..::agent::Settings::default()
    };
    Agent::new(settings, target, fastrand::u64(..), origin.elapsed())
}

/// Receives the acknowledgements of the departure announcement, after the traffic
/// thread has ended.
async fn receive_control(port: Port, control: Sender<control::Input>) {
    let mut receiver = port.receiver();
    while let Ok(received) = receiver.receive().await {
        if let Frame::Control(payload) = received.frame {
            let from = received.from;
            let _ = control
                .send(control::Input::Message { from, payload })
                .await;
        }
    }
}

/// Divides the time between SIGTERM and exit: two thirds for running requests,
/// one third for the handover of flows.
fn leave_settings(stop: Duration) -> Leave {
    let handover = stop / 3;
    Leave {
        grace_period: stop.saturating_sub(handover),
        handover_timeout: handover,
        ..Leave::default()
    }
}

fn target(settings: &settings::Agent) -> Target {
    Target {
        id: target_id(settings.service, settings.backend),
        service: settings.service,
        address: settings.listen,
        control: settings.control,
        zone: settings.zone,
        incarnation: clock::incarnation(),
        version: 0,
        weight: u32::from(settings.slots) * INITIAL_WEIGHT_PER_SLOT,
        slots: settings.slots,
        state: State::Ready,
    }
}

/// Sends the core a stop event for SIGTERM and SIGINT, and a replacement event for
/// SIGHUP.
async fn stop_on_signal(inputs: Sender<Input>) {
    let signals = signal::subscribe();
    while let Ok(signal) = signals.recv().await {
        let event = match signal {
            signal::Signal::Stop => Event::Stop,
            signal::Signal::Replace => Event::Replace,
        };
        let _ = inputs.send(event.into()).await;
    }
}
