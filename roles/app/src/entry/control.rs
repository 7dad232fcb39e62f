//! The control thread of an entry: runs the membership protocol and publishes
//! routes to the traffic threads.
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
use config::Evacuations;
use config::Update;
use futures_lite::FutureExt;
use member::Action;
use member::BROADCAST_ADDRESS;
use member::Message;
use member::Registry;
use net::Port;
use route::Order;
use smol::Task;
use wire::Frame;
use wire::Revision;
use wire::ServiceAddress;

use crate::change::Tracker;
use crate::directory;
use crate::entry::config_reader::Ranking;
use crate::entry::discovery::Discovery;
use crate::entry::discovery::Outcome;
use crate::entry::status;
use crate::entry::traffic::Traffic;
use crate::evacuation;
use crate::event::Event;
use crate::metric;
use crate::metric::Instruments;
use crate::metric::Sample;

/// Longest sleep when no deadline is pending.
const IDLE: Duration = Duration::from_millis(250);

/// An input to the control thread.
pub enum Input {
    /// A message of the membership protocol.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// A service configuration read from the store or accepted from an operator.
    Update(Update),
    /// The evacuated zones, read from the store.
    Evacuations {
        /// The zones.
        evacuations: Evacuations,
        /// Index of the store at which they were listed.
        index: Revision,
    },
    /// A request for the state of the system, made by an operator.
    Status(Sender<StatusReply>),
    /// A request for the metrics.
    Metrics(Sender<Vec<Sample>>),
    /// Service address of a caller's packet that this entry does not know.
    UnknownService(ServiceAddress),
    /// A request to announce that this entry leaves.
    Leave,
}

/// State of the control thread.
pub struct Control {
    /// The membership protocol.
    pub registry: Registry,
    /// Origin of the monotonic time of the membership protocol.
    pub origin: Instant,
    /// The port for frames, shared with the traffic threads.
    pub port: Port,
    /// State shared with the traffic threads.
    pub traffic: Arc<Traffic>,
    /// Inputs from other threads and tasks.
    pub inputs: Receiver<Input>,
    /// Instruments of the metrics.
    pub instruments: Instruments,
    /// Last logged state of the services and targets.
    pub tracker: Tracker,
    /// Pending queries for services that are not known.
    pub discovery: Discovery,
    /// Reports this entry's rank to the store reader.
    pub ranking: Ranking,
    /// Tasks that read the service addresses bound by this entry.
    pub listeners: HashMap<ServiceAddress, Task<()>>,
    /// Determines the evacuated zones.
    pub evacuation: evacuation::Tracker,
}

impl Control {
    /// Runs until dropped, or until a newer process at the same address
    /// supersedes this one.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        while self.registry.successor().is_none() {
            self.process_next(&mut actions).await;
        }
        if let Some(incarnation) = self.registry.successor() {
            Event::Superseded { incarnation }.log();
        }
    }

    /// Waits for an input or a deadline, handles it, and sends and publishes what
    /// follows from it.
    async fn process_next(&mut self, actions: &mut Vec<Action>) {
        let input = self.next_input().await;
        let now = self.origin.elapsed();
        match input {
            Some(Input::Message { from, payload }) => {
                if let Ok(message) = Message::decode(&payload) {
                    self.registry.handle(now, from, message, actions);
                }
            }
            Some(Input::Update(update)) => self.update_config(now, &update),
            Some(Input::Evacuations { evacuations, index }) => {
                evacuation::put(&mut self.registry, now, &evacuations, index);
            }
            Some(Input::Status(reply)) => {
                let samples = self.samples();
                let evacuated = self.evacuation.current();
                let _ = reply.try_send(status::describe(&self.registry, evacuated, &samples));
            }
            Some(Input::UnknownService(address)) => self.discover(now, address),
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
        let mut changes = self.registry.take_changes();
        if let Some(position) = changes.iter().position(|one| *one == BROADCAST_ADDRESS) {
            changes.swap_remove(position);
            let record = evacuation::record(&self.registry);
            evacuation::observe(&mut self.evacuation, now, record);
        }
        if self.evacuation.advance(now).is_some() {
            changes = self.registry.views().map(|view| view.address).collect();
            changes.retain(|address| *address != BROADCAST_ADDRESS);
        }
        if !changes.is_empty() {
            self.rebuild_routes(now, &changes);
        }
        let outcomes = self.discovery.take_due(now);
        if !outcomes.is_empty() {
            self.apply_outcomes(now, &outcomes);
        }
    }

    /// Asks peers for a service, unless it is known to have been deleted.
    fn discover(&mut self, now: Duration, address: ServiceAddress) {
        if self.is_deleted(&address) {
            return self.rebuild_routes(now, &[address]);
        }
        if self.discovery.start(now, address) {
            self.registry.request_service(now, address);
        }
    }

    /// Returns true if the configuration of the service marks it as deleted or
    /// cannot be decoded. Returns false if no configuration is known.
    fn is_deleted(&self, address: &ServiceAddress) -> bool {
        self.registry
            .view(address)
            .is_some_and(|view| view.config.is_some() && directory::service(view).is_none())
    }

    /// Applies the outcomes of queries that timed out or expired.
    fn apply_outcomes(&mut self, now: Duration, outcomes: &[Outcome]) {
        let mut router = self.traffic.router.load().as_ref().clone();
        let mut arrived = Vec::new();
        for outcome in outcomes {
            match outcome {
                Outcome::Absent(address) if self.registry.view(address).is_some() => {
                    arrived.push(*address);
                }
                Outcome::Absent(address) => router.mark_absent(*address),
                Outcome::Expired(address) => router.remove(*address),
            }
        }
        self.traffic.router.store(Arc::new(router));
        if !arrived.is_empty() {
            self.rebuild_routes(now, &arrived);
        }
    }

    /// Waits for an input. Returns `None` once a deadline is due instead.
    async fn next_input(&self) -> Option<Input> {
        let now = self.origin.elapsed();
        let due = self.registry.next_deadline().min(now + IDLE);
        let tick = async {
            Timer::at(self.origin + due).await;
            None
        };
        let input = async { self.inputs.recv().await.ok() };
        input.or(tick).await
    }

    /// Adds a service configuration to the directory.
    fn update_config(&mut self, now: Duration, update: &Update) {
        let Ok(body) = update.service.to_bytes() else {
            return;
        };
        let service = member::Service {
            address: update.service.address,
            revision: update.revision,
            body: body.into(),
        };
        self.registry.put_service(now, service);
    }

    /// Returns the current values of all metrics. Logs a warning and returns none if
    /// they cannot be read.
    fn samples(&mut self) -> Vec<Sample> {
        metric::entry::publish(&mut self.instruments, &self.registry, &self.traffic)
            .and_then(|()| self.instruments.read())
            .unwrap_or_else(|error| {
                log::warn!("{error}");
                Vec::new()
            })
    }

    /// Rebuilds the routes of the services that changed, and binds or releases
    /// their addresses.
    fn rebuild_routes(&mut self, now: Duration, changes: &[ServiceAddress]) {
        let mut router = self.traffic.router.load().as_ref().clone();
        for address in changes {
            let view = self.registry.view(address);
            for event in view
                .map(|view| self.tracker.update(view))
                .unwrap_or_default()
            {
                event.log();
            }
            match self.route(*address) {
                Some(service)
                    if service.order().is_empty() && !self.discovery.has_timed_out(*address) =>
                {
                    // The service's targets may not have arrived by gossip yet.
                    self.discovery.start(now, *address);
                }
                Some(service) => {
                    if !service.order().is_empty() {
                        self.discovery.finish(*address);
                    }
                    router.insert(service);
                    self.bind(*address);
                }
                None if self.is_deleted(address) => {
                    router.mark_absent(*address);
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
        let view = self.registry.view(&address)?;
        let service = directory::service(view)?;
        let service = directory::evacuate(service, self.evacuation.current());
        let targets = directory::targets(view, &service);
        let revision = view.config.as_ref().map_or(0, |config| config.revision);
        let hunt = usize::from(service.hunt);
        Some(Service::new(address, revision, hunt, Order::new(&targets)))
    }
}
