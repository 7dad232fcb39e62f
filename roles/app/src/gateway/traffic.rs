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
use forward::entry::Drop;
use forward::entry::Event;
use forward::entry::Refusal;
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
use crate::gateway::control;
use crate::metric;
use crate::metric::Board;
use crate::metric::carried::publish_calls;
use crate::metric::carried::record;

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

    /// Copies what was counted to a board.
    ///
    /// # Errors
    ///
    /// [`metric::Error::Unknown`] where a metric is not in the table.
    pub fn publish(&self, board: &mut Board, calls: &Calls) -> Result<(), metric::Error> {
        self.report.counts.publish(board)?;
        publish_calls(board, calls)?;
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        board.set_size("carried.flows", core.len())?;
        board.set("carried.version", "", core.version())
    }

    fn packet(&self, packet: &[u8]) {
        self.report.counts.add("carried.packets", "from_caller");
        match packet::decode(packet) {
            Ok(segment) => self.handle(Event::Packet {
                segment,
                packet: Bytes::copy_from_slice(packet),
            }),
            Err(error) => self.drop_packet(error.name()),
        }
    }

    fn frame(&self, received: Received) {
        match received.frame {
            Frame::Transit(Transit::Held(held)) => self.handle(Event::Held(held)),
            Frame::Transit(Transit::Absent(absent)) => self.handle(Event::Absent(absent)),
            Frame::Transit(Transit::Busy(busy)) => self.handle(Event::Busy(busy)),
            Frame::Control(payload) => {
                let from = received.from;
                let message = control::Input::Message { from, payload };
                if self.control.try_send(message).is_err() {
                    self.drop_packet("control_full");
                }
            }
            _ => self.drop_packet("unexpected"),
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
            Action::Send { to, transit } => self.port.send(to, &Frame::Transit(transit)),
            Action::Reset {
                flow,
                sequence,
                reason,
            } => self.reset(&flow, sequence, reason),
            Action::Opened {
                flow,
                first,
                hops,
                version,
            } => {
                counts.add("carried.flows.opened", "");
                self.log(&log::Event::FlowOpened {
                    flow: name(&flow),
                    first,
                    version,
                    count: hops.saturating_sub(1),
                });
            }
            Action::Accepted { took } => record(&self.report.open_time, took),
            Action::Sought {
                flow,
                asked,
                may_try,
            } => {
                counts.add("carried.searches", "");
                self.log(&log::Event::FlowSought {
                    flow: name(&flow),
                    asked,
                    may_try,
                });
            }
            Action::Found { flow, holder, took } => {
                counts.add("carried.searches.ended", "found");
                record(&self.report.search_time, took);
                self.log(&log::Event::FlowFound {
                    flow: name(&flow),
                    holder,
                    took_us: took.as_micros(),
                });
            }
            Action::Vanished { flow } => {
                counts.add("carried.searches.ended", "lost");
                let flow = name(&flow);
                self.log(&log::Event::FlowLost { flow });
            }
            Action::Dropped(reason) => self.drop_packet(dropped(reason)),
        }
    }

    fn reset(&self, flow: &FlowId, sequence: u32, reason: Refusal) {
        let reason = refused(reason);
        self.report.counts.add("carried.flows.reset", reason);
        self.log(&log::Event::FlowReset {
            flow: name(flow),
            reason: reason.to_owned(),
            detail: "decided here".to_owned(),
        });
        let caller = SocketAddr::from((*flow.caller.ip(), self.caller_port));
        if let Err(error) = self.callers.send_to(&packet::reset(flow, sequence), caller) {
            ::log::debug!("a reset was not sent: {error}");
            self.report.counts.add("carried.dropped", "not_sent");
        }
    }
}

const fn refused(reason: Refusal) -> &'static str {
    match reason {
        Refusal::NoRoute => "no_route",
        Refusal::NoServer => "no_server",
    }
}

const fn dropped(reason: Drop) -> &'static str {
    match reason {
        Drop::Direction => "direction",
        Drop::Unconfirmed => "unconfirmed",
        Drop::Young => "young",
        Drop::Crowded => "crowded",
        Drop::Lost => "lost",
    }
}
