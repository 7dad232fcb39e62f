//! Sockets, log and metrics of a gateway or sidecar.
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use limit::link::Change;
use limit::link::Class;
use limit::link::Packet;
use limit::link::Taken;
use member::Action;
use net::Port;
use platform::packet;
use store::Counts as Calls;
use wire::FlowId;
use wire::Frame;
use wire::Transit;

use crate::event::Event;
use crate::forwarder::class;
use crate::forwarder::class::Classes;
use crate::forwarder::event;
use crate::forwarder::pacer::Datagram;
use crate::forwarder::pacer::Decision;
use crate::forwarder::pacer::Envelope;
use crate::forwarder::pacer::Pacer;
use crate::forwarder::pacer::Socket;
use crate::forwarder::telemetry::Telemetry;
use crate::forwarder::usage::Kind;
use crate::forwarder::usage::Usage;
use crate::metric::Error;
use crate::metric::Instruments;
use crate::metric::forwarder::publish_calls;
use crate::metric::forwarder::record;
use crate::metric::forwarder::to_count;
use crate::settings::table::Role;

/// Error of a send while the kernel has no buffers, `ENOBUFS` of Linux.
const NO_BUFFERS: i32 = 105;

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
    /// Packets that wait for room on the network link.
    pub pacer: Pacer,
    /// Classes of packets.
    pub classes: Classes,
    /// Role of the process.
    pub role: Role,
    /// Bytes sent, by kind and zone.
    pub usage: Usage,
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
        let frame = Frame::Transit(transit);
        let Some(datagram) = self.port.seal(&frame) else {
            return;
        };
        let Frame::Transit(transit) = frame else {
            return;
        };
        let envelope = Envelope {
            socket: Socket::Frames,
            to,
            kind: Kind::of(self.role, &transit),
        };
        let describe = || self.classes.frame(to, &transit, datagram.len());
        self.send(envelope, &datagram, describe);
    }

    /// Sends the messages of the membership protocol.
    pub fn send_control(&self, actions: &mut Vec<Action>) {
        for Action::Send { to, message } in actions.drain(..) {
            let payload = match message.encode() {
                Ok(payload) => payload,
                Err(error) => {
                    log::warn!("cannot encode a membership message to {to}: {error}");
                    continue;
                }
            };
            if let Some(datagram) = self.port.seal(&Frame::Control(payload)) {
                let envelope = Envelope {
                    socket: Socket::Frames,
                    to,
                    kind: Kind::Membership,
                };
                let describe = || class::control(datagram.len());
                self.send(envelope, &datagram, describe);
            }
        }
    }

    /// Sends a packet unchanged to the backend server, which does not take it through
    /// the network link.
    pub fn send_to_server(&self, to: SocketAddr, packet: &[u8]) {
        if let Err(error) = self.socket.send_to(packet, to) {
            self.drop_unsent(to, &error);
        }
    }

    /// Sends a packet to a caller. All callers are reached on the same port.
    pub fn send_to_caller(&self, caller: SocketAddrV4, packet: &[u8]) {
        let to = SocketAddr::from((*caller.ip(), self.caller_port));
        let envelope = Envelope {
            socket: Socket::Packets,
            to,
            kind: Kind::Answer,
        };
        let describe = || self.classes.packet(packet);
        self.send(envelope, packet, describe);
    }

    /// Sends what waits for room on the network link. Does not return.
    pub fn send_waiting(&self) {
        let mut taken = Vec::new();
        loop {
            self.pacer.wait(|| self.now(), &mut taken);
            for waited in taken.drain(..) {
                self.send_waited(&waited);
            }
        }
    }

    /// Replaces the rate of the network link, in megabits per second.
    pub fn set_rate(&self, mbps: Option<f64>) {
        self.pacer.set_rate(self.now(), mbps);
        self.log_rate();
    }

    /// Logs the rate of the network link if packets are paced.
    pub fn log_rate(&self) {
        if self.pacer.is_active() {
            let bytes_per_second = to_count(self.pacer.load(self.now()).rate);
            Event::LinkPaced { bytes_per_second }.log();
        }
    }

    /// Logs that the network link has become full or free, if it has.
    pub fn report_load(&self) {
        match self.pacer.take_change(self.now()) {
            Some((Change::Full, bytes)) => self.log(&Event::LinkFull { bytes }),
            Some((Change::Free, _)) => self.log(&Event::LinkFree {}),
            None => {}
        }
    }

    /// Sends a datagram, or queues it while the network link has no room.
    fn send(&self, envelope: Envelope, content: &[u8], describe: impl FnOnce() -> Packet) {
        if !self.pacer.is_active() {
            return self.transmit(envelope, content);
        }
        let decision = self.pacer.offer(self.now(), describe(), envelope, content);
        match decision {
            Decision::Send => self.transmit(envelope, content),
            Decision::Done => {}
            Decision::Help(taken) => {
                for waited in taken {
                    self.send_waited(&waited);
                }
            }
        }
    }

    fn send_waited(&self, waited: &Taken<Datagram>) {
        record(&self.telemetry.link_time, waited.wait);
        self.transmit(waited.item.envelope, &waited.item.content);
    }

    fn transmit(&self, envelope: Envelope, content: &[u8]) {
        let Envelope { socket, to, kind } = envelope;
        self.usage.add(kind, to, content.len());
        let sent = match socket {
            Socket::Frames => self.port.send_sealed(to, content),
            Socket::Packets => self.socket.send_to(content, to).map(drop),
        };
        let Err(error) = sent else {
            return;
        };
        if is_full(&error) {
            self.pacer.record_refusal(self.now());
        }
        if socket == Socket::Packets {
            self.drop_unsent(to, &error);
        }
    }

    fn drop_unsent(&self, to: SocketAddr, error: &io::Error) {
        log::debug!("cannot send a packet to {to}: {error}");
        self.count("carried.dropped", "not_sent");
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
        self.usage.publish(instruments)?;
        if self.pacer.is_active() {
            self.publish_link(instruments)?;
        }
        publish_calls(instruments, calls)
    }

    fn publish_link(&self, instruments: &mut Instruments) -> Result<(), Error> {
        for class in Class::ALL {
            let counts = self.pacer.counts(class);
            let name = class.name();
            instruments.set("carried.link.sent", name, counts.sent)?;
            instruments.set("carried.link.queued", name, counts.queued)?;
            instruments.set("carried.link.copies", name, counts.copies)?;
            instruments.set("carried.link.full", name, counts.full)?;
            instruments.set("carried.link.late", name, counts.late)?;
        }
        let load = self.pacer.load(self.now());
        instruments.set("carried.link.rate", "", to_count(load.rate))?;
        instruments.set("carried.link.load", "", to_count(load.load))
    }
}

/// Returns true if an error of a send says that the network link is full.
fn is_full(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(NO_BUFFERS)
}
