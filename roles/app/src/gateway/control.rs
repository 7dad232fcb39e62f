//! The control thread of a gateway: runs the membership protocol and publishes
//! routes to the traffic threads.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use config::Evacuations;
use forward::Routes;
use forward::entry::Event;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use member::Action;
use member::Message;
use member::Registry;
use platform::document;
use wire::Revision;
use wire::ServiceAddress;
use wire::Version;
use wire::revision;

use crate::change::Tracker;
use crate::evacuation;
use crate::event::Event as LogEvent;
use crate::gateway::evacuation::Evacuation;
use crate::gateway::rotation;
use crate::gateway::rotation::Controller;
use crate::gateway::routes;
use crate::gateway::routes::Builder;
use crate::gateway::traffic::Traffic;

/// Longest sleep when no deadline is pending.
const IDLE: Duration = Duration::from_millis(250);

/// Interval at which the zones of other processes are read: their bytes are counted
/// under an unknown zone until then.
const ZONES_INTERVAL: Duration = Duration::from_secs(1);

/// An input to the control thread.
pub enum Input {
    /// A message of the membership protocol.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// An encoded configuration read from the store.
    Document(Vec<u8>),
    /// The evacuated zones that the store lists.
    Evacuations {
        /// The zones.
        evacuations: Evacuations,
        /// Index of the store at which they were listed.
        index: Revision,
    },
    /// Addresses of the entries that the store lists.
    Peers(Vec<SocketAddr>),
    /// A request to announce that this gateway leaves.
    Leave,
}

/// State of the control thread.
pub struct Control {
    /// The membership protocol.
    pub registry: Registry,
    /// Origin of the monotonic time of the membership protocol.
    pub origin: Instant,
    /// State shared with the threads that forward packets.
    pub traffic: Arc<Traffic>,
    /// Inputs from other threads and tasks.
    pub inputs: Receiver<Input>,
    /// Builder that holds the current routes.
    pub builder: Builder,
    /// Whether the store has recently confirmed the configuration as current.
    pub is_confirmed: Arc<AtomicBool>,
    /// Version of the configuration that was last read from the store. Lower than
    /// the one in force if the store was restored from an older copy.
    pub stored_version: Version,
    /// Whether callers can be served, as reported to the platform.
    pub is_ready: Arc<AtomicBool>,
    /// Whether that was reported once.
    pub has_been_ready: bool,
    /// Addresses of the entries that the settings name.
    pub seeds: Vec<SocketAddr>,
    /// Services that were requested from other entries.
    pub requested: BTreeSet<ServiceAddress>,
    /// Last logged state of the targets.
    pub tracker: Tracker,
    /// The evacuated availability zones.
    pub evacuation: Evacuation,
    /// Part of this gateway in the rotation of its zone.
    pub rotation: Controller,
    /// Time at which the zones of other processes are next read.
    pub next_zones: Duration,
}

impl Control {
    /// Runs until dropped.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            self.process_next(&mut actions).await;
            // Lets the stop task run even under a continuous stream of messages.
            yield_now().await;
        }
    }

    /// Waits for an input or a deadline, handles it, and sends and publishes what
    /// follows from it.
    async fn process_next(&mut self, actions: &mut Vec<Action>) {
        let input = self.next_input().await;
        let now = self.origin.elapsed();
        match input {
            Some(Input::Message { from, payload }) => match Message::decode(&payload) {
                Ok(message) => self.registry.handle(now, from, message, actions),
                Err(error) => log::debug!("cannot decode message from {from}: {error}"),
            },
            Some(Input::Document(bytes)) => self.update_document(now, bytes),
            Some(Input::Evacuations { evacuations, index }) => {
                evacuation::put(&mut self.registry, now, &evacuations, index);
            }
            Some(Input::Peers(peers)) => self.join_listed(now, &peers),
            Some(Input::Leave) => self.registry.leave(now, actions),
            None => {}
        }
        self.registry.raise_incarnation();
        self.registry.tick(now, actions);
        self.traffic.link.send_control(actions);
        self.traffic.link.report_load();
        self.update_zones(now);
        let link = &self.traffic.link;
        self.rotation.update(now, &mut self.registry, link);
        self.publish(now);
    }

    /// Publishes the routes to the traffic threads if they changed.
    fn publish(&mut self, now: Duration) {
        let mut changes = self.registry.take_changes();
        changes.retain(|address| !rotation::is_statement(address));
        if !changes.is_empty() {
            self.log_changes(&changes);
            let routes = self.builder.update(now, &self.registry, &changes);
            if changes.contains(&routes::DOCUMENT_ADDRESS) {
                let all = routes.table.routes.iter();
                let priorities = all.map(|(address, route)| (*address, route.priority));
                self.traffic.link.classes.replace(priorities);
                let version = routes.table.version;
                let route_count = routes.table.routes.len();
                LogEvent::ConfigInForce {
                    version,
                    routes: route_count,
                }
                .log();
                self.request_services(now, &routes);
            }
            self.traffic.handle(Event::Routes(routes));
            if changes.contains(&member::BROADCAST_ADDRESS) {
                let record = evacuation::record(&self.registry);
                self.evacuation.observe(now, record);
            }
        }
        let evacuations = self.evacuation.take_change(now);
        let routes = evacuations.map(|zones| self.builder.evacuate(zones));
        let has_changed = routes.is_some() || !changes.is_empty();
        if let Some(routes) = routes {
            self.traffic.handle(Event::Routes(routes));
        }
        if has_changed {
            let report = self.evacuation.report(self.builder.routes());
            let shared = &self.traffic.evacuation;
            *shared.lock().unwrap_or_else(PoisonError::into_inner) = report;
        }
        let is_complete = self.builder.is_ready() && self.evacuation.is_ready(now);
        // Only once: a gateway that stops reports that it is no longer ready.
        if is_complete && !self.has_been_ready {
            self.has_been_ready = true;
            self.is_ready.store(true, Ordering::Relaxed);
        }
        // A store that holds an older configuration cannot confirm the newer one.
        let is_stored = self.stored_version >= self.builder.version();
        let is_confirmed = is_stored && self.is_confirmed.load(Ordering::Relaxed);
        let is_complete = self.registry.has_peer_answered();
        if let Some(routes) = self.builder.confirm(is_confirmed, is_complete) {
            self.traffic.handle(Event::Routes(routes));
        }
    }

    /// Updates the zones by which the bytes sent are counted.
    fn update_zones(&mut self, now: Duration) {
        if now < self.next_zones {
            return;
        }
        self.next_zones = now + ZONES_INTERVAL;
        let entries = self.registry.entries();
        let entries = entries.map(|entry| (entry.address, entry.zone));
        let members = self.registry.views().flat_map(|view| view.targets.values());
        let agents = members.map(|member| (member.target.address, member.target.zone));
        self.traffic
            .link
            .usage
            .replace_zones(entries.chain(agents).collect());
    }

    /// Logs the changed states of backend servers at a bounded rate, because a cold
    /// start changes all of them at once.
    fn log_changes(&mut self, changes: &[ServiceAddress]) {
        let services = changes
            .iter()
            .filter(|address| !routes::is_pseudo_service(**address));
        for view in services.filter_map(|address| self.registry.view(address)) {
            for event in self.tracker.update(view) {
                self.traffic.link.log(&event);
            }
        }
    }

    /// Requests the backend servers of services that were not requested before
    /// from other entries.
    fn request_services(&mut self, now: Duration, routes: &Routes) {
        let services: BTreeSet<ServiceAddress> = routes.table.services().collect();
        for service in services {
            if self.requested.insert(service) {
                self.registry.request_service(now, service);
            }
        }
    }

    /// Joins the entries that the store lists, with the seeds, unless all listed
    /// ones are known to be live.
    fn join_listed(&mut self, now: Duration, listed: &[SocketAddr]) {
        let known: BTreeSet<SocketAddr> = self.registry.live_entries().collect();
        if listed.iter().all(|entry| known.contains(entry)) {
            return;
        }
        let all: BTreeSet<SocketAddr> = listed.iter().chain(&self.seeds).copied().collect();
        let all: Vec<SocketAddr> = all.into_iter().collect();
        self.registry.join(now, &all);
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

    /// Adds a configuration read from the store to the directory, or logs that it
    /// cannot be decoded.
    fn update_document(&mut self, now: Duration, bytes: Vec<u8>) {
        let version = match document::decode(&bytes) {
            Ok(table) => table.version,
            Err(error) => {
                let error = error.to_string();
                return LogEvent::ConfigUnreadable { error }.log();
            }
        };
        self.stored_version = version;
        let in_force = self.builder.version();
        if version < in_force {
            return LogEvent::ConfigBehind {
                stored: version,
                version: in_force,
            }
            .log();
        }
        let service = member::Service {
            address: routes::DOCUMENT_ADDRESS,
            revision: revision::from_packed(version),
            body: bytes.into(),
        };
        self.registry.put_service(now, service);
    }
}
