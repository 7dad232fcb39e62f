//! The control thread of an entry.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ::entry::Service;
use api::operator::StatusReply;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use config::Update;
use futures_lite::FutureExt;
use member::Action;
use member::Message;
use member::Registry;
use net::Port;
use route::Order;
use smol::Task;
use wire::Frame;
use wire::ServiceAddress;

use crate::directory;
use crate::entry::reading::Ranking;
use crate::entry::seek::Seek;
use crate::entry::seek::Verdict;
use crate::entry::status;
use crate::entry::traffic::Traffic;
use crate::event::Event;
use crate::metric;
use crate::metric::Board;
use crate::metric::Sample;
use crate::watch::Watch;

/// Longest sleep while nothing is due.
const IDLE: Duration = Duration::from_millis(250);

/// What the control thread is told.
pub enum Input {
    /// A message of the membership protocol arrived.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// The store has a configuration.
    Update(Update),
    /// An operator asks for the state of the system.
    Status(Sender<StatusReply>),
    /// The metrics are asked for.
    Metrics(Sender<Vec<Sample>>),
    /// A caller asks for a service that is not known.
    Need(ServiceAddress),
    /// The entry is to stop.
    Leave,
}

/// What the control thread works with.
pub struct Control {
    /// The membership protocol.
    pub registry: Registry,
    /// Origin of the time.
    pub origin: Instant,
    /// The port for frames, shared with the traffic threads.
    pub port: Port,
    /// What the traffic threads share.
    pub traffic: Arc<Traffic>,
    /// What arrives from other threads and tasks.
    pub inputs: Receiver<Input>,
    /// The metrics.
    pub board: Board,
    /// What was last logged of the services.
    pub watch: Watch,
    /// Searches for services that are not known.
    pub seek: Seek,
    /// Tells the reader of the store this entry's rank.
    pub ranking: Ranking,
    /// Readers of the service addresses that are bound here.
    pub listeners: HashMap<ServiceAddress, Task<()>>,
}

impl Control {
    /// Runs until dropped, or until a newer process has this one's place.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        while self.registry.successor().is_none() {
            self.turn(&mut actions).await;
        }
        if let Some(incarnation) = self.registry.successor() {
            Event::Superseded { incarnation }.log();
        }
    }

    async fn turn(&mut self, actions: &mut Vec<Action>) {
        let input = self.next().await;
        let now = self.origin.elapsed();
        match input {
            Some(Input::Message { from, payload }) => {
                if let Ok(message) = Message::decode(&payload) {
                    self.registry.handle(now, from, message, actions);
                }
            }
            Some(Input::Update(update)) => self.put(now, &update),
            Some(Input::Status(reply)) => {
                let samples = self.samples();
                let _ = reply.try_send(status::describe(&self.registry, &samples));
            }
            Some(Input::Need(address)) => self.need(now, address),
            Some(Input::Leave) => self.registry.leave(now, actions),
            Some(Input::Metrics(reply)) => {
                let _ = reply.try_send(self.samples());
            }
            None => {}
        }
        self.registry.tick(now, actions);
        self.ranking.tick(now, &self.registry);
        for action in actions.drain(..) {
            let Action::Send { to, message } = action;
            if let Ok(payload) = message.encode() {
                self.port.send(to, &Frame::Control(payload));
            }
        }
        let changes = self.registry.changes();
        if !changes.is_empty() {
            self.rebuild(now, &changes);
        }
        let verdicts = self.seek.due(now);
        if !verdicts.is_empty() {
            self.judge(now, &verdicts);
        }
    }

    /// Seeks a service, unless it is known to have been deleted.
    fn need(&mut self, now: Duration, address: ServiceAddress) {
        if self.is_deleted(&address) {
            return self.rebuild(now, &[address]);
        }
        if self.seek.start(now, address) {
            self.registry.need(now, address);
        }
    }

    fn is_deleted(&self, address: &ServiceAddress) -> bool {
        self.registry
            .service(address)
            .is_some_and(|view| view.config.is_some() && directory::service(view).is_none())
    }

    /// Acts on searches that are over.
    fn judge(&mut self, now: Duration, verdicts: &[Verdict]) {
        let mut router = self.traffic.router.load().as_ref().clone();
        let mut known = Vec::new();
        for verdict in verdicts {
            match verdict {
                Verdict::Absent(address) if self.registry.service(address).is_some() => {
                    known.push(*address);
                }
                Verdict::Absent(address) => router.refuse(*address),
                Verdict::Forgotten(address) => router.forget(*address),
            }
        }
        self.traffic.router.store(Arc::new(router));
        if !known.is_empty() {
            self.rebuild(now, &known);
        }
    }

    async fn next(&self) -> Option<Input> {
        let now = self.origin.elapsed();
        let due = self.registry.next_deadline().min(now + IDLE);
        let tick = async {
            Timer::at(self.origin + due).await;
            None
        };
        let input = async { self.inputs.recv().await.ok() };
        input.or(tick).await
    }

    fn put(&mut self, now: Duration, update: &Update) {
        let Ok(body) = update.service.to_bytes() else {
            return;
        };
        let service = member::Service {
            address: update.service.address,
            revision: update.revision,
            body: body.into(),
        };
        self.registry.put(now, service);
    }

    /// Reads all metrics.
    fn samples(&mut self) -> Vec<Sample> {
        metric::entry::publish(&mut self.board, &self.registry, &self.traffic)
            .and_then(|()| self.board.read())
            .unwrap_or_else(|error| {
                log::warn!("{error}");
                Vec::new()
            })
    }

    /// Replaces the routes of the services that changed.
    fn rebuild(&mut self, now: Duration, changes: &[ServiceAddress]) {
        let mut router = self.traffic.router.load().as_ref().clone();
        for address in changes {
            let view = self.registry.service(address);
            for event in view.map(|view| self.watch.view(view)).unwrap_or_default() {
                event.log();
            }
            match self.route(*address) {
                Some(service) if service.order().is_empty() && !self.seek.is_over(*address) => {
                    // Its targets may not have arrived yet.
                    self.seek.start(now, *address);
                }
                Some(service) => {
                    if !service.order().is_empty() {
                        self.seek.found(*address);
                    }
                    router.insert(service);
                    self.bind(*address);
                }
                None if self.is_deleted(address) => {
                    router.refuse(*address);
                    self.release(*address);
                }
                None => {}
            }
        }
        self.traffic.router.store(Arc::new(router));
    }

    fn release(&mut self, service: ServiceAddress) {
        self.traffic.release(service);
        self.listeners.remove(&service);
    }

    fn bind(&mut self, service: ServiceAddress) {
        match self.traffic.bind(service) {
            Ok(Some(listener)) => drop(self.listeners.insert(service, listener)),
            Ok(None) => {}
            Err(error) => {
                let error = error.to_string();
                Event::NotBound { service, error }.log();
            }
        }
    }

    fn route(&self, address: ServiceAddress) -> Option<Service> {
        let view = self.registry.service(&address)?;
        let service = directory::service(view)?;
        let targets = directory::targets(view, &service);
        let revision = view.config.as_ref().map_or(0, |config| config.revision);
        let hunt = usize::from(service.hunt);
        Some(Service::new(address, revision, hunt, Order::new(&targets)))
    }
}
