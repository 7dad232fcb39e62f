//! The traffic threads of an entry, which relay datagrams without state for each
//! flow.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ::entry::Drop;
use ::entry::Router;
use ::entry::Step;
use arc_swap::ArcSwap;
use async_channel::Sender;
use bytes::Bytes;
use net::Port;
use net::port::Named;
use net::port::Received;
use smol::Executor;
use smol::Task;
use wire::Frame;
use wire::Reply;
use wire::ServiceAddress;
use wire::frame::Sprayed;

use crate::entry::control::Input;
use crate::entry::edge;
use crate::entry::edge::Edge;

/// Maximum number of frames read from the port before other tasks run.
const BATCH: usize = 64;

/// State shared by the traffic threads of one entry.
pub struct Traffic {
    /// The port for frames.
    pub port: Port,
    /// Path on which datagrams are exchanged with callers.
    pub edge: Edge,
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
        let Edge::Bound(bound) = &self.edge else {
            return Ok(None);
        };
        let Some(socket) = bound.bind(service)? else {
            return Ok(None);
        };
        let entry = self.port.local_addr()?;
        let traffic = Arc::clone(self);
        let relay = move |sprayed| traffic.relay(sprayed, entry);
        let reading = edge::receive(service, socket, relay);
        Ok(Some(self.executor.spawn(reading)))
    }

    /// Stops replying from the address of a service, if the entry has bound it.
    pub fn release(&self, service: ServiceAddress) {
        if let Edge::Bound(bound) = &self.edge {
            bound.release(service);
        }
    }

    fn dispatch(&self, received: Received, entry: SocketAddr) {
        match received.frame {
            Frame::Sprayed(sprayed) => self.relay(sprayed, entry),
            Frame::Reply(reply) => self.reply(reply),
            Frame::Control(payload) => self.enqueue_control(received.from, payload),
            Frame::Relay(_) | Frame::Pin(_) | Frame::Unpin(_) | Frame::Transit(_) => {
                count(&self.counters.unexpected_frame);
            }
        }
    }

    fn relay(&self, sprayed: Sprayed, entry: SocketAddr) {
        let service = sprayed.service;
        match self.router.load().route(sprayed, entry) {
            Step::Relay { to, relay } => {
                count(&self.counters.relayed);
                self.port.send(to, &Frame::Relay(relay));
            }
            Step::Refuse { reply, reason } => {
                count(self.counters.of_reason(reason));
                self.reply(reply);
            }
            Step::Ignore(reason) => {
                count(self.counters.of_reason(reason));
                if reason == Drop::Sought {
                    // If the queue is full, the caller's retransmission triggers
                    // the query.
                    let _ = self.control.try_send(Input::UnknownService(service));
                }
            }
        }
    }

    fn reply(&self, reply: Reply) {
        match &self.edge {
            Edge::Encapsulated { fabric } => {
                let sprayed = Sprayed {
                    caller: reply.caller,
                    service: reply.service,
                    packet: reply.packet,
                };
                self.port.send(*fabric, &Frame::Sprayed(sprayed));
            }
            Edge::Bound(bound) if bound.send(&reply) => {}
            Edge::Bound(_) => return count(&self.counters.not_bound),
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
    pub fn all(&self) -> [Named<'_>; 12] {
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
        .map(|(name, value)| Named { name, value })
    }

    /// Returns the counter of packets that were not relayed for `reason`.
    #[must_use]
    pub const fn of_reason(&self, reason: Drop) -> &AtomicU64 {
        match reason {
            Drop::Malformed => &self.malformed,
            Drop::Version => &self.version,
            Drop::TooLarge => &self.too_large,
            Drop::Direction => &self.direction,
            Drop::Sought => &self.unknown_address,
            Drop::NoService => &self.no_service,
            Drop::NoTarget => &self.no_target,
        }
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
