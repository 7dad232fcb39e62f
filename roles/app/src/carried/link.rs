//! The sockets, the log and the metrics of a gateway or sidecar.
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use member::Action;
use net::Port;
use platform::packet;
use store::Counts as Calls;
use wire::FlowId;
use wire::Frame;
use wire::Transit;

use crate::carried::event;
use crate::carried::report::Report;
use crate::event::Event;
use crate::metric::Board;
use crate::metric::Error;
use crate::metric::carried::publish_calls;

/// What the threads of a gateway or sidecar send, log and count with.
pub struct Link {
    /// Origin of the core's time.
    pub origin: Instant,
    /// The port for frames.
    pub port: Port,
    /// The socket for packets.
    pub socket: UdpSocket,
    /// UDP port on which callers are reached.
    pub caller_port: u16,
    /// The log and the metrics.
    pub report: Report,
}

impl Link {
    /// Time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Logs an event, at a bounded rate.
    pub fn log(&self, event: &Event) {
        self.report.journal.log(self.now(), event);
    }

    /// Counts one more of a metric.
    pub fn count(&self, name: &'static str, reason: &'static str) {
        self.report.counts.add(name, reason);
    }

    /// Counts and logs a packet that is dropped.
    pub fn drop_packet(&self, reason: &'static str) {
        self.count("carried.dropped", reason);
        let reason = reason.to_owned();
        self.log(&Event::PacketDropped { reason });
    }

    /// Sends a frame to an entry or agent.
    pub fn frame(&self, to: SocketAddr, transit: Transit) {
        self.port.send(to, &Frame::Transit(transit));
    }

    /// Sends what the membership protocol asks for.
    pub fn control(&self, actions: &mut Vec<Action>) {
        for Action::Send { to, message } in actions.drain(..) {
            match message.encode() {
                Ok(payload) => self.port.send(to, &Frame::Control(payload)),
                Err(error) => log::warn!("a message to {to} was not sent: {error}"),
            }
        }
    }

    /// Sends a packet as it is.
    pub fn packet(&self, to: SocketAddr, packet: &[u8]) {
        if let Err(error) = self.socket.send_to(packet, to) {
            log::debug!("a packet to {to} was not sent: {error}");
            self.count("carried.dropped", "not_sent");
        }
    }

    /// Sends a packet to a caller: all are reached on one port.
    pub fn to_caller(&self, caller: SocketAddrV4, packet: &[u8]) {
        let to = SocketAddr::from((*caller.ip(), self.caller_port));
        self.packet(to, packet);
    }

    /// Resets a flow towards its caller.
    pub fn reset(&self, flow: &FlowId, sequence: u32, reason: &'static str, detail: String) {
        self.count("carried.flows.reset", reason);
        self.log(&Event::FlowReset {
            flow: event::flow(flow),
            reason: reason.to_owned(),
            detail,
        });
        self.to_caller(flow.caller, &packet::reset(flow, sequence));
    }

    /// Copies what was counted to a board.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where a metric is not in the table.
    pub fn publish(&self, board: &mut Board, calls: &Calls) -> Result<(), Error> {
        self.report.counts.publish(board)?;
        publish_calls(board, calls)
    }
}
