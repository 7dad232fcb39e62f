//! The traffic threads of an entry, which relay datagrams without state for each
//! flow.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ::entry::Decision;
use ::entry::DropReason;
use ::entry::Router;
use arc_swap::ArcSwap;
use async_channel::Sender;
use bytes::Bytes;
use net::Port;
use net::port::Counter;
use net::port::Received;
use smol::Executor;
use smol::Task;
use wire::Frame;
use wire::Reply;
use wire::ServiceAddress;
use wire::frame::Encapsulated;

use crate::entry::control::Input;
use crate::entry::frontend;
use crate::entry::frontend::Frontend;

/// Maximum number of frames read from the port before other tasks run.
const BATCH: usize = 64;

/// State shared by the traffic threads of one entry.
pub struct Traffic {
    /// The port for frames.
    pub port: Port,
    /// Path on which datagrams are exchanged with callers.
    pub frontend: Frontend,
    /// Executor of the traffic threads' tasks.
    pub executor: Executor<'static>,
    /// The current snapshot of all services.
    pub router: ArcSwap<Router>,
    /// Queue of inputs to the control thread; inputs are dropped while it is full.
    pub control: Sender<Input>,
    /// Counters of the traffic threads.
    pub counters: Counters,
}

/// Counters of datagrams and frames, by what was done with them and why.
#[derive(Default)]
pub struct Counters {
    /// Packets relayed to an agent.
    pub relayed: AtomicU64,
    /// Packets returned to a caller.
    pub replied: AtomicU64,
    /// Packets that could not be decoded.
    pub malformed: AtomicU64,
    /// Packets of an unsupported protocol version.
    pub version: AtomicU64,
    /// Packets whose payload is too large.
    pub too_large: AtomicU64,
    /// Packets of a kind that callers must not send.
    pub direction: AtomicU64,
    /// Packets to an address for which peers are being queried.
    pub unknown_address: AtomicU64,
    /// Packets to an address without a service.
    pub no_service: AtomicU64,
    /// Packets to a service without targets.
    pub no_target: AtomicU64,
    /// Frames of a kind that an entry does not handle.
    pub unexpected_frame: AtomicU64,
    /// Control messages dropped because the control thread's queue was full.
    pub control_full: AtomicU64,
    /// Replies that could not be sent from the address of their service.
    pub not_bound: AtomicU64,
}

impl Traffic {
    /// Relays datagrams until the port fails.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn run(self: Arc<Self>) -> io::Result<()> {
        self.executor.run(self.receive()).await
    }

    async fn receive(&self) -> io::Result<()> {
        let entry = self.port.local_addr()?;
        let mut receiver = self.port.receiver();
        loop {
            for _ in 0..BATCH {
                let incoming = receiver.receive().await?;
                self.dispatch(incoming, entry);
            }
            smol::future::yield_now().await;
        }
    }

    /// Binds the address of a service and returns the task that reads it, which
    /// ends when dropped. Returns `None` if the address is bound already, or if
    /// a fabric delivers the datagrams.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, for example if the host does not
    /// own the address.
    pub fn bind(self: &Arc<Self>, service: ServiceAddress) -> io::Result<Option<Task<()>>> {
        let Frontend::Bound(bound) = &self.frontend else {
            return Ok(None);
        };
        let Some(socket) = bound.bind(service)? else {
            return Ok(None);
        };
        let entry = self.port.local_addr()?;
        let traffic = Arc::clone(self);
        let relay = move |encapsulated| traffic.relay(encapsulated, entry);
        let reading = frontend::receive(service, socket, relay);
        Ok(Some(self.executor.spawn(reading)))
    }

    /// Stops replying from the address of a service, if the entry has bound it.
    pub fn release(&self, service: ServiceAddress) {
        if let Frontend::Bound(bound) = &self.frontend {
            bound.release(service);
        }
    }

    fn dispatch(&self, received: Received, entry: SocketAddr) {
        match received.frame {
            Frame::Encapsulated(encapsulated) => self.relay(encapsulated, entry),
            Frame::Reply(reply) => self.reply(reply),
            Frame::Control(payload) => self.enqueue_control(received.from, payload),
            Frame::Relay(_) | Frame::Pin(_) | Frame::Unpin(_) | Frame::Transit(_) => {
                count(&self.counters.unexpected_frame);
            }
        }
    }

    fn relay(&self, encapsulated: Encapsulated, entry: SocketAddr) {
        let service = encapsulated.service;
        match self.router.load().route(encapsulated, entry) {
            Decision::Relay { to, relay } => {
                count(&self.counters.relayed);
                self.port.send(to, &Frame::Relay(relay));
            }
            Decision::Refuse { reply, reason } => {
                count(self.counters.of_reason(reason));
                self.reply(reply);
            }
            Decision::Ignore(reason) => {
                count(self.counters.of_reason(reason));
                if reason == DropReason::UnknownAddress {
                    // If the queue is full, the caller's retransmission triggers
                    // the query.
                    let _ = self.control.try_send(Input::UnknownService(service));
                }
            }
        }
    }

    fn reply(&self, reply: Reply) {
        match &self.frontend {
            Frontend::Encapsulated { fabric } => {
                let encapsulated = Encapsulated {
                    caller: reply.caller,
                    service: reply.service,
                    packet: reply.packet,
                };
                self.port.send(*fabric, &Frame::Encapsulated(encapsulated));
            }
            Frontend::Bound(bound) if bound.send(&reply) => {}
            Frontend::Bound(_) => return count(&self.counters.not_bound),
        }
        count(&self.counters.replied);
    }

    fn enqueue_control(&self, from: SocketAddr, payload: Bytes) {
        if self
            .control
            .try_send(Input::Message { from, payload })
            .is_err()
        {
            count(&self.counters.control_full);
        }
    }
}

impl Counters {
    /// Returns every counter with its name.
    #[must_use]
    pub fn all(&self) -> [Counter<'_>; 12] {
        [
            ("packets.relayed", &self.relayed),
            ("packets.replied", &self.replied),
            ("refused.malformed", &self.malformed),
            ("refused.version", &self.version),
            ("refused.too_large", &self.too_large),
            ("refused.direction", &self.direction),
            ("refused.sought", &self.unknown_address),
            ("refused.no_service", &self.no_service),
            ("refused.no_target", &self.no_target),
            ("refused.unexpected_frame", &self.unexpected_frame),
            ("refused.control_queue_full", &self.control_full),
            ("refused.not_bound", &self.not_bound),
        ]
        .map(|(name, value)| Counter { name, value })
    }

    /// Returns the counter of packets that were not relayed for `reason`.
    #[must_use]
    pub const fn of_reason(&self, reason: DropReason) -> &AtomicU64 {
        match reason {
            DropReason::Malformed => &self.malformed,
            DropReason::Version => &self.version,
            DropReason::TooLarge => &self.too_large,
            DropReason::Direction => &self.direction,
            DropReason::UnknownAddress => &self.unknown_address,
            DropReason::NoService => &self.no_service,
            DropReason::NoTarget => &self.no_target,
        }
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
