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
use forward::agent::Drop;
use forward::agent::Event;
use forward::agent::Refusal;
use net::Port;
use net::port::Received;
use platform::packet;
use store::Counts as Calls;
use wire::FlowId;
use wire::Frame;
use wire::Transit;

use crate::carried::event::flow as name;
use crate::carried::reader;
use crate::carried::reader::Input;
use crate::carried::report::Report;
use crate::event as log;
use crate::metric;
use crate::metric::Board;
use crate::metric::carried::publish_calls;
use crate::metric::carried::record;
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
    /// The log and the metrics.
    pub report: Report,
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

    /// Copies what was counted to a board.
    ///
    /// # Errors
    ///
    /// [`metric::Error::Unknown`] where a metric is not in the table.
    pub fn publish(&self, board: &mut Board, calls: &Calls) -> Result<(), metric::Error> {
        self.report.counts.publish(board)?;
        publish_calls(board, calls)?;
        let core = self.lock();
        board.set_size("carried.flows", core.len())?;
        board.set("carried.running", "", core.running().into())
    }

    fn lock(&self) -> MutexGuard<'_, Agent> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self, packet: &mut [u8]) {
        self.report.counts.add("carried.packets", "from_server");
        match packet::decode(packet) {
            Ok(segment) => {
                packet::restore(packet);
                let packet = Bytes::copy_from_slice(packet);
                self.handle(Event::Server { segment, packet });
            }
            Err(error) => self.drop_packet(error.name()),
        }
    }

    fn frame(&self, received: Received) {
        let transit = match received.frame {
            Frame::Transit(transit) => transit,
            Frame::Control(payload) => {
                let from = received.from;
                let message = control::Input::Message { from, payload };
                if self.control.try_send(message).is_err() {
                    self.drop_packet("control_full");
                }
                return;
            }
            _ => return self.drop_packet("unexpected"),
        };
        match event(transit) {
            Ok(Some(event)) => self.handle(event),
            Ok(None) => self.drop_packet("unexpected"),
            Err(error) => self.drop_packet(error.name()),
        }
    }

    fn drop_packet(&self, reason: &'static str) {
        self.report.counts.add("carried.dropped", reason);
        let reason = reason.to_owned();
        self.log(&log::Event::PacketDropped { reason });
    }

    fn log(&self, event: &log::Event) {
        self.report.journal.log(self.origin.elapsed(), event);
    }

    fn perform(&self, action: Action) {
        let counts = &self.report.counts;
        match action {
            Action::Deliver(packet) => {
                counts.add("carried.packets", "to_server");
                self.send(&packet, self.backend);
            }
            Action::ToCaller { caller, packet } => {
                counts.add("carried.packets", "to_caller");
                let to = SocketAddr::from((*caller.ip(), self.caller_port));
                self.send(&packet, to);
            }
            Action::Send { to, transit } => self.port.send(to, &Frame::Transit(transit)),
            Action::Reset {
                flow,
                sequence,
                reason,
                bids,
            } => self.reset(&flow, sequence, reason, &bids),
            Action::Answered { took } => record(&self.report.request_time, took),
            decision => self.decided(&decision),
        }
    }

    /// Counts and logs a decision that has been carried out.
    fn decided(&self, decision: &Action) {
        let counts = &self.report.counts;
        match decision {
            Action::Taken {
                flow,
                bid,
                running,
                held,
                entry,
            } => {
                counts.add("carried.flows.taken", "");
                self.log(&log::Event::FlowTaken {
                    flow: name(flow),
                    wait_us: bid.wait.as_micros(),
                    held_us: bid.held.as_micros(),
                    running: *running,
                    held: *held,
                    entry: *entry,
                });
            }
            Action::Passed {
                flow,
                bid,
                to,
                is_settled,
            } => {
                counts.add("carried.flows.passed", "");
                let bid = match bid {
                    Ok(bid) => format!("{} us", (bid.wait + bid.held).as_micros()),
                    Err(closed) => format!("{closed:?}").to_lowercase(),
                };
                self.log(&log::Event::FlowPassed {
                    flow: name(flow),
                    bid,
                    to: *to,
                    settled: *is_settled,
                });
            }
            Action::Probed { flow } => {
                counts.add("carried.tries", "");
                let flow = name(flow);
                self.log(&log::Event::FlowTried { flow });
            }
            Action::Returned { flow, was_held } => {
                counts.add("carried.returned", "");
                let flow = name(flow);
                let was_held = *was_held;
                self.log(&log::Event::FlowReturned { flow, was_held });
            }
            Action::Ended { flows } => {
                counts.add("carried.servers.ended", "");
                let flows = *flows;
                self.log(&log::Event::ServerEnded { flows });
            }
            Action::Dropped(Drop::Probing) => self.drop_packet("probing"),
            Action::Dropped(Drop::OldAnnouncement) => self.drop_packet("old_announcement"),
            Action::Deliver(_)
            | Action::ToCaller { .. }
            | Action::Send { .. }
            | Action::Reset { .. }
            | Action::Answered { .. } => {}
        }
    }

    fn reset(&self, flow: &FlowId, sequence: u32, reason: Refusal, bids: &[u32]) {
        let reason = refused(reason);
        self.report.counts.add("carried.flows.reset", reason);
        self.log(&log::Event::FlowReset {
            flow: name(flow),
            reason: reason.to_owned(),
            detail: format!("bids {bids:?} ms"),
        });
        let to = SocketAddr::from((*flow.caller.ip(), self.caller_port));
        self.send(&packet::reset(flow, sequence), to);
    }

    fn send(&self, packet: &[u8], to: SocketAddr) {
        if let Err(error) = self.servers.send_to(packet, to) {
            ::log::debug!("a packet to {to} was not sent: {error}");
            self.report.counts.add("carried.dropped", "not_sent");
        }
    }
}

const fn refused(reason: Refusal) -> &'static str {
    match reason {
        Refusal::NoSlot => "no_slot",
        Refusal::NotAccepted => "not_accepted",
        Refusal::ServerEnded => "server_ended",
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
        Transit::Held(_) | Transit::Absent(_) | Transit::Busy(_) => None,
    })
}
