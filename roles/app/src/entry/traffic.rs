//! The traffic threads of an entry: they relay datagrams and keep nothing.
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

/// Frames that are read from the port before other tasks run.
const BATCH: usize = 64;

/// What the traffic threads of one entry share.
pub struct Traffic {
    /// The port for frames.
    pub port: Port,
    /// How datagrams are exchanged with callers.
    pub edge: Edge,
    /// Runs the tasks of the traffic threads.
    pub executor: Executor<'static>,
    /// The current snapshot of all services.
    pub router: ArcSwap<Router>,
    /// Where control messages go; they are dropped while it is full.
    pub control: Sender<Input>,
    /// What was done.
    pub counters: Counters,
}

/// Counts what the traffic threads did with datagrams, by reason.
#[derive(Default)]
pub struct Counters {
    /// Packets relayed to an agent.
    pub relayed: AtomicU64,
    /// Packets returned to a caller.
    pub replied: AtomicU64,
    /// Packets that could not be read.
    pub malformed: AtomicU64,
    /// Packets of another version.
    pub version: AtomicU64,
    /// Packets whose payload is too large.
    pub too_large: AtomicU64,
    /// Packets that only the system sends.
    pub direction: AtomicU64,
    /// Packets to an address that is not known yet.
    pub sought: AtomicU64,
    /// Packets to an address without a service.
    pub no_service: AtomicU64,
    /// Packets to a service without targets.
    pub no_target: AtomicU64,
    /// Frames that an entry does not take.
    pub unexpected: AtomicU64,
    /// Control messages that arrived faster than they were read.
    pub control_full: AtomicU64,
    /// Replies of a service whose address is not bound here.
    pub not_bound: AtomicU64,
}

impl Traffic {
    /// Relays datagrams until the port fails.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn run(self: Arc<Self>) -> io::Result<()> {
        self.executor.run(self.receive()).await
    }

    async fn receive(&self) -> io::Result<()> {
        let entry = self.port.local_addr()?;
        let mut receiver = self.port.receiver();
        loop {
            for _ in 0..BATCH {
                let incoming = receiver.receive().await?;
                self.handle(incoming, entry);
            }
            smol::future::yield_now().await;
        }
    }

    /// Binds the address of a service, where the entry does that itself and has
    /// not yet. The address is read until the task is dropped.
    ///
    /// # Errors
    ///
    /// The operating system's error, such as that the host does not own the
    /// address.
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

    /// Gives up the address of a service.
    pub fn release(&self, service: ServiceAddress) {
        if let Edge::Bound(bound) = &self.edge {
            bound.release(service);
        }
    }

    fn handle(&self, received: Received, entry: SocketAddr) {
        match received.frame {
            Frame::Sprayed(sprayed) => self.relay(sprayed, entry),
            Frame::Reply(reply) => self.reply(reply),
            Frame::Control(payload) => self.control(received.from, payload),
            Frame::Relay(_) | Frame::Pin(_) | Frame::Unpin(_) | Frame::Transit(_) => {
                count(&self.counters.unexpected);
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
                count(self.counters.dropped(reason));
                self.reply(reply);
            }
            Step::Ignore(reason) => {
                count(self.counters.dropped(reason));
                if reason == Drop::Sought {
                    // Repeats of the caller ask again where the queue is full.
                    let _ = self.control.try_send(Input::Need(service));
                }
            }
        }
    }

    fn reply(&self, reply: Reply) {
        match &self.edge {
            Edge::Wrapped { fabric } => {
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

    fn control(&self, from: SocketAddr, payload: Bytes) {
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
            ("refused.sought", &self.sought),
            ("refused.no_service", &self.no_service),
            ("refused.no_target", &self.no_target),
            ("refused.unexpected_frame", &self.unexpected),
            ("refused.control_queue_full", &self.control_full),
            ("refused.not_bound", &self.not_bound),
        ]
        .map(|(name, value)| Named { name, value })
    }

    /// Returns the counter of a reason.
    #[must_use]
    pub const fn dropped(&self, reason: Drop) -> &AtomicU64 {
        match reason {
            Drop::Malformed => &self.malformed,
            Drop::Version => &self.version,
            Drop::TooLarge => &self.too_large,
            Drop::Direction => &self.direction,
            Drop::Sought => &self.sought,
            Drop::NoService => &self.no_service,
            Drop::NoTarget => &self.no_target,
        }
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
