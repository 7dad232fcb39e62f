//! The control thread of a gateway.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use forward::Routes;
use forward::entry::Event;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use member::Action;
use member::Message;
use member::Registry;
use platform::document;
use wire::ServiceAddress;

use crate::event::Event as LogEvent;
use crate::gateway::routes;
use crate::gateway::routes::Builder;
use crate::gateway::traffic::Traffic;
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
    Document(Vec<u8>),
    /// The store lists these entries.
    Peers(Vec<SocketAddr>),
    /// The gateway is to stop.
    Leave,
}

/// What the control thread works with.
pub struct Control {
    /// The membership protocol.
    pub registry: Registry,
    /// Origin of the time.
    pub origin: Instant,
    /// What carries the packets.
    pub traffic: Arc<Traffic>,
    /// What arrives from other threads and tasks.
    pub inputs: Receiver<Input>,
    /// The routes as last built.
    pub builder: Builder,
    /// Whether the store confirmed the configuration lately.
    pub is_confirmed: Arc<AtomicBool>,
    /// Whether callers can be served.
    pub is_ready: Arc<AtomicBool>,
    /// The entries that the settings name.
    pub seeds: Vec<SocketAddr>,
    /// Services that other entries were asked for.
    pub needed: BTreeSet<ServiceAddress>,
    /// What was last logged of the services.
    pub watch: Watch,
}

impl Control {
    /// Runs until dropped.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            self.turn(&mut actions).await;
            // Messages that never cease must not keep a stop from being seen.
            yield_now().await;
        }
    }

    async fn turn(&mut self, actions: &mut Vec<Action>) {
        let input = self.next().await;
        let now = self.origin.elapsed();
        match input {
            Some(Input::Message { from, payload }) => match Message::decode(&payload) {
                Ok(message) => self.registry.handle(now, from, message, actions),
                Err(error) => log::debug!("a message of {from} cannot be read: {error}"),
            },
            Some(Input::Document(bytes)) => self.put(now, bytes),
            Some(Input::Peers(peers)) => self.join(now, &peers),
            Some(Input::Leave) => self.registry.leave(now, actions),
            None => {}
        }
        self.registry.outrank();
        self.registry.tick(now, actions);
        self.traffic.link.control(actions);
        self.publish(now);
    }

    /// Gives the traffic threads the routes where they changed.
    fn publish(&mut self, now: Duration) {
        let changes = self.registry.changes();
        if !changes.is_empty() {
            self.log_changes(&changes);
            let routes = self.builder.update(&self.registry, &changes);
            if changes.contains(&routes::DOCUMENT) {
                let version = routes.table.version;
                let routes_count = routes.table.routes.len();
                LogEvent::ConfigInForce {
                    version,
                    routes: routes_count,
                }
                .log();
                self.need_services(now, &routes);
            }
            self.traffic.handle(Event::Routes(routes));
            if self.builder.is_ready() {
                self.is_ready.store(true, Ordering::Relaxed);
            }
        }
        let is_confirmed = self.is_confirmed.load(Ordering::Relaxed);
        let is_complete = self.registry.is_told();
        if let Some(routes) = self.builder.confirm(is_confirmed, is_complete) {
            self.traffic.handle(Event::Routes(routes));
        }
    }

    /// Logs what changed of the backend servers, at a bounded rate: a cold start
    /// changes all of them at once.
    fn log_changes(&mut self, changes: &[ServiceAddress]) {
        let services = changes
            .iter()
            .filter(|address| **address != routes::DOCUMENT);
        for view in services.filter_map(|address| self.registry.service(address)) {
            for event in self.watch.view(view) {
                self.traffic.link.log(&event);
            }
        }
    }

    /// Asks other entries for the backend servers of services that are new here.
    fn need_services(&mut self, now: Duration, routes: &Routes) {
        let all = routes.table.routes.values();
        let shares = all.flat_map(|route| &route.shares);
        let services: BTreeSet<ServiceAddress> = shares.map(|share| share.service).collect();
        for service in services {
            if self.needed.insert(service) {
                self.registry.need(now, service);
            }
        }
    }

    /// Takes the entries that the store lists, unless all are known.
    fn join(&mut self, now: Duration, listed: &[SocketAddr]) {
        let known: BTreeSet<SocketAddr> = self.registry.live_entries().collect();
        if listed.iter().all(|entry| known.contains(entry)) {
            return;
        }
        let all: BTreeSet<SocketAddr> = listed.iter().chain(&self.seeds).copied().collect();
        let all: Vec<SocketAddr> = all.into_iter().collect();
        self.registry.join(now, &all);
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

    fn put(&mut self, now: Duration, bytes: Vec<u8>) {
        let version = match document::decode(&bytes) {
            Ok(table) => table.version,
            Err(error) => {
                let error = error.to_string();
                return LogEvent::ConfigUnreadable { error }.log();
            }
        };
        let service = member::Service {
            address: routes::DOCUMENT,
            revision: version,
            body: bytes.into(),
        };
        self.registry.put(now, service);
    }
}
