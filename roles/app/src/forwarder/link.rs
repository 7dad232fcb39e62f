//! Sockets, log and metrics of a gateway or sidecar.
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

use crate::event::Event;
use crate::forwarder::event;
use crate::forwarder::telemetry::Telemetry;
use crate::metric::Error;
use crate::metric::Instruments;
use crate::metric::forwarder::publish_calls;

/// Sockets, log and metrics shared by the threads of a gateway or sidecar.
pub struct Link {
    /// Origin of the core's time.
    pub origin: Instant,
    /// The port for frames.
    pub port: Port,
    /// The socket for packets.
    pub socket: UdpSocket,
    /// UDP port on which callers are reached.
    pub caller_port: u16,
    /// Log, counters and latency histograms.
    pub telemetry: Telemetry,
}

impl Link {
    /// Returns the time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Logs an event, at a bounded rate.
    pub fn log(&self, event: &Event) {
        self.telemetry.limiter.log(self.now(), event);
    }

    /// Increments a counter of the table of metrics.
    pub fn count(&self, name: &'static str, reason: &'static str) {
        self.telemetry.counts.add(name, reason);
    }

    /// Counts and logs a dropped packet.
    pub fn drop_packet(&self, reason: &'static str) {
        self.count("carried.dropped", reason);
        let reason = reason.to_owned();
        self.log(&Event::PacketDropped { reason });
    }

    /// Sends a frame to an entry or agent.
    pub fn send_frame(&self, to: SocketAddr, transit: Transit) {
        self.port.send(to, &Frame::Transit(transit));
    }

    /// Sends the messages of the membership protocol.
    pub fn send_control(&self, actions: &mut Vec<Action>) {
        for Action::Send { to, message } in actions.drain(..) {
            match message.encode() {
                Ok(payload) => self.port.send(to, &Frame::Control(payload)),
                Err(error) => log::warn!("cannot encode a membership message to {to}: {error}"),
            }
        }
    }

    /// Sends a packet unchanged.
    pub fn send_packet(&self, to: SocketAddr, packet: &[u8]) {
        if let Err(error) = self.socket.send_to(packet, to) {
            log::debug!("cannot send a packet to {to}: {error}");
            self.count("carried.dropped", "not_sent");
        }
    }

    /// Sends a packet to a caller. All callers are reached on the same port.
    pub fn send_to_caller(&self, caller: SocketAddrV4, packet: &[u8]) {
        let to = SocketAddr::from((*caller.ip(), self.caller_port));
        self.send_packet(to, packet);
    }

    /// Sends the caller of a flow a reset, and counts and logs it.
    pub fn reset_flow(&self, flow: &FlowId, sequence: u32, reason: &'static str, detail: String) {
        self.count("carried.flows.reset", reason);
        self.log(&Event::FlowReset {
            flow: event::flow_name(flow),
            reason: reason.to_owned(),
            detail,
        });
        self.send_to_caller(flow.caller, &packet::reset(flow, sequence));
    }

    /// Copies the counters to the instruments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if a metric is not in the table.
    pub fn publish(&self, instruments: &mut Instruments, calls: &Calls) -> Result<(), Error> {
        self.telemetry.counts.publish(instruments)?;
        publish_calls(instruments, calls)
    }
}
