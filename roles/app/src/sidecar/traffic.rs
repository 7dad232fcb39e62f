//! Carries packets between entries and the backend server.
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use net::Port;
use net::port::Received;
use platform::packet;
use wire::Frame;
use wire::Transit;

use crate::carried::reader;
use crate::carried::reader::Input;
use crate::sidecar::control;

/// What the threads of a sidecar share.
pub struct Traffic {
    /// The decisions.
    pub core: Mutex<Agent>,
    /// Origin of the core's time.
    pub origin: Instant,
    /// The port for frames.
    pub port: Port,
    /// The socket for the packets of the backend server.
    pub servers: UdpSocket,
    /// UDP address of the backend server.
    pub backend: SocketAddr,
    /// UDP port on which callers are reached.
    pub caller_port: u16,
    /// Where control messages go; they are dropped while it is full.
    pub control: Sender<control::Input>,
}

/// Starts the reading threads.
///
/// # Errors
///
/// The operating system's error where no thread can be started.
pub fn start(traffic: &Arc<Traffic>, servers: UdpSocket) -> io::Result<()> {
    let shared = Arc::clone(traffic);
    reader::spawn_packets("servers", servers, move |input| {
        if let Input::Arrived(datagram) = input {
            shared.server(datagram.packet);
        }
    })?;
    let shared = Arc::clone(traffic);
    reader::spawn_frames("frames", &traffic.port, move |input| match input {
        Input::Arrived(received) => shared.frame(received),
        Input::Quiet => shared.handle(Event::Tick),
    })
}

impl Traffic {
    /// Gives the core an event, and does what it asks.
    pub fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.lock()
            .handle(self.origin.elapsed(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Whether requests are under way.
    pub fn is_busy(&self) -> bool {
        self.lock().is_busy()
    }

    /// Whether the backend server takes new flows.
    pub fn is_open(&self) -> bool {
        self.lock().is_open(self.origin.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Agent> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self, packet: &mut [u8]) {
        match packet::decode(packet) {
            Ok(segment) => {
                packet::restore(packet);
                let packet = Bytes::copy_from_slice(packet);
                self.handle(Event::Server { segment, packet });
            }
            Err(error) => log::debug!("a packet of the backend server was dropped: {error}"),
        }
    }

    fn frame(&self, received: Received) {
        let transit = match received.frame {
            Frame::Transit(transit) => transit,
            Frame::Control(payload) => {
                let from = received.from;
                // A full control thread loses messages, as a network does.
                let _ = self
                    .control
                    .try_send(control::Input::Message { from, payload });
                return;
            }
            _ => return log::debug!("a frame that no sidecar takes came from {}", received.from),
        };
        match event(transit) {
            Ok(Some(event)) => self.handle(event),
            Ok(None) => log::debug!("a frame that no sidecar takes came from {}", received.from),
            Err(error) => log::debug!("a caller's packet was dropped: {error}"),
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Deliver(packet) => self.send(&packet, self.backend),
            Action::ToCaller { caller, packet } => {
                let to = SocketAddr::from((*caller.ip(), self.caller_port));
                self.send(&packet, to);
            }
            Action::Send { to, transit } => self.port.send(to, &Frame::Transit(transit)),
            Action::Reset {
                flow,
                sequence,
                reason,
                bids,
            } => {
                log::debug!("flow {flow:?} reset: {reason:?}, bids {bids:?} ms");
                let to = SocketAddr::from((*flow.caller.ip(), self.caller_port));
                self.send(&packet::reset(&flow, sequence), to);
            }
            decision => log::debug!("{decision:?}"),
        }
    }

    fn send(&self, packet: &[u8], to: SocketAddr) {
        if let Err(error) = self.servers.send_to(packet, to) {
            log::debug!("a packet to {to} was not sent: {error}");
        }
    }
}

/// The event that a frame is to the core, or `None` where a sidecar takes none
/// of its kind.
fn event(transit: Transit) -> Result<Option<Event>, packet::Error> {
    Ok(match transit {
        Transit::Open(open) => {
            let segment = packet::decode(&open.packet)?;
            Some(Event::Open { open, segment })
        }
        Transit::Carry(carry) => {
            let segment = packet::decode(&carry.packet)?;
            Some(Event::Carry { carry, segment })
        }
        Transit::Seek(carry) => {
            let segment = packet::decode(&carry.packet)?;
            Some(Event::Seek { carry, segment })
        }
        Transit::Held(_) | Transit::Absent(_) => None,
    })
}
