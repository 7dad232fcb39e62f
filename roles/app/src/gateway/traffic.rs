//! Carries packets between callers and agents.
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use forward::Entry;
use forward::entry::Action;
use forward::entry::Event;
use net::Port;
use net::port::Received;
use platform::packet;
use wire::Frame;
use wire::Transit;

use crate::carried::reader;
use crate::carried::reader::Input;
use crate::gateway::control;

/// What the threads of a gateway share.
pub struct Traffic {
    /// The decisions.
    pub core: Mutex<Entry>,
    /// Origin of the core's time.
    pub origin: Instant,
    /// The port for frames.
    pub port: Port,
    /// The socket for callers' packets.
    pub callers: UdpSocket,
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
pub fn start(traffic: &Arc<Traffic>, callers: UdpSocket) -> io::Result<()> {
    let shared = Arc::clone(traffic);
    reader::spawn_packets("callers", callers, move |input| {
        if let Input::Arrived(datagram) = input {
            shared.packet(datagram.packet);
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
        self.core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .handle(self.origin.elapsed(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn packet(&self, packet: &[u8]) {
        match packet::decode(packet) {
            Ok(segment) => self.handle(Event::Packet {
                segment,
                packet: Bytes::copy_from_slice(packet),
            }),
            Err(error) => log::debug!("a caller's packet was dropped: {error}"),
        }
    }

    fn frame(&self, received: Received) {
        match received.frame {
            Frame::Transit(Transit::Held(held)) => self.handle(Event::Held(held)),
            Frame::Transit(Transit::Absent(absent)) => self.handle(Event::Absent(absent)),
            Frame::Control(payload) => {
                let from = received.from;
                // A full control thread loses messages, as a network does.
                let _ = self
                    .control
                    .try_send(control::Input::Message { from, payload });
            }
            _ => log::debug!("a frame that no gateway takes came from {}", received.from),
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { to, transit } => self.port.send(to, &Frame::Transit(transit)),
            Action::Reset {
                flow,
                sequence,
                reason,
            } => {
                log::debug!("flow {flow:?} reset: {reason:?}");
                let caller = SocketAddr::from((*flow.caller.ip(), self.caller_port));
                let reset = packet::reset(&flow, sequence);
                if let Err(error) = self.callers.send_to(&reset, caller) {
                    log::debug!("a reset was not sent: {error}");
                }
            }
            decision => log::debug!("{decision:?}"),
        }
    }
}
