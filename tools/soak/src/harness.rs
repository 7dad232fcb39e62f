//! Test harness: the state that all parts of one run share.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use platform_standin::Host as Settings;
use platform_standin::Store;
use platform_standin::document;
use platform_standin::host::Server as ServerSettings;
use platform_standin::packet::Key;
use wire::FlowId;

use crate::address;
use crate::address::ANNOUNCEMENT_PORT;
use crate::address::FRAME_PORT;
use crate::address::Network;
use crate::address::OUTGOING_PORT;
use crate::address::PACKET_PORT;
use crate::address::READY_PORT;
use crate::address::SERVER_PORT;
use crate::address::socket;
use crate::caller::Callers;
use crate::checker::Checker;
use crate::checker::Invariant;
use crate::evacuation::Evacuation;
use crate::history::History;
use crate::history::Routes;
use crate::host::Cause;
use crate::host::Host;
use crate::server::Server;
use crate::sockets::Sockets;
use crate::topology::Topology;

/// Largest number of entries that a settings file names as gossip seeds.
const SEED_ENTRIES: usize = 3;

/// Longest time by which a fault of the store may delay a configuration.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_secs(12);

/// Service time of the slowest possible backend server, relative to the
/// fastest.
const MAX_SLOWDOWN: f64 = 2.7;

/// State of one run.
pub struct Harness {
    /// Deployment under test.
    pub topology: Topology,
    /// Loopback network of the deployment.
    pub network: Network,
    /// Source of all random choices other than those of the plan.
    pub random: Rng,
    /// Key of the checksums that callers and backend servers put into packets.
    pub key: Key,
    /// Observations and violations.
    pub checker: Checker,
    /// Configurations written so far.
    pub history: History,
    /// Entry hosts first, then the hosts of backend servers.
    pub hosts: Vec<Host>,
    /// Whether each entry host is in rotation, according to its readiness
    /// probes.
    pub rotation: Vec<bool>,
    /// Backend servers, in the order of their hosts.
    pub servers: Vec<Server>,
    /// State of the callers.
    pub callers: Callers,
    /// Sockets of callers, backend servers and links.
    pub sockets: Sockets,
    /// Stand-in for the platform's store.
    pub store: Store,
    /// Number of active faults of the store, and when the last one ended.
    pub store_faults: (u32, Duration),
    /// Evacuated zones, by name.
    pub evacuations: BTreeMap<String, Evacuation>,
    origin: Instant,
}

/// Harness that the tasks of one thread share.
pub type Shared = Rc<RefCell<Harness>>;

impl Harness {
    /// Prepares a run without starting anything.
    ///
    /// # Errors
    ///
    /// The operating system's error where an address cannot be bound.
    pub fn new(
        topology: Topology,
        network: Network,
        folder: &Path,
        store: Store,
    ) -> io::Result<Self> {
        let mut random = Rng::with_seed(topology.seed ^ u64::MAX);
        let hosts = (0..topology.hosts()).map(|host| new_host(&topology, network, folder, host));
        let servers = (0..topology.servers()).map(|server| {
            let service = topology.service_of(server);
            let slower = 1.0 + random.f64() * (MAX_SLOWDOWN - 1.0);
            Server {
                address: socket(network.process(topology.gateways + server), SERVER_PORT),
                service,
                slots: usize::from(topology.services[service].slots),
                work: topology.services[service].work.mul_f64(slower),
                instance: None,
                starts: 0,
            }
        });
        store.number_from(topology.origins.era, topology.origins.revision);
        Ok(Self {
            hosts: hosts.collect(),
            servers: servers.collect(),
            rotation: vec![false; topology.gateways],
            sockets: Sockets::bind(&topology, network)?,
            key: Key::new(topology.seed),
            checker: Checker::default(),
            history: History::after(topology.origins.version),
            callers: Callers::default(),
            store_faults: (0, Duration::ZERO),
            evacuations: BTreeMap::new(),
            origin: Instant::now(),
            random,
            topology,
            network,
            store,
        })
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the index of a backend server's host.
    #[must_use]
    pub const fn host_of(&self, server: usize) -> usize {
        self.topology.gateways + server
    }

    /// Writes a configuration to the store and records it.
    pub fn configure(&mut self, routes: &Routes) {
        let now = self.now();
        let version = self.history.record(&mut self.random, now, routes.clone());
        let rows: Vec<document::Route> = routes
            .iter()
            .map(|(address, number)| {
                let service = &self.topology.services[*number];
                document::Route {
                    address: *address,
                    service: service.name.clone(),
                    timeout: service.deadline,
                    target_latency: service.deadline / 4,
                    priority: self.topology.origins.priority + *number as u64,
                }
            })
            .collect();
        let value = document::encode(version, &rows, self.topology.limits.idle);
        self.store.write_configuration(&value);
    }

    /// Returns by how much faults of the store may delay a configuration now:
    /// by `MAX_CONFIGURATION_DELAY` while one is active and for as long after
    /// the last one ended, otherwise not at all.
    #[must_use]
    pub fn configuration_delay(&self, now: Duration) -> Duration {
        let (active, since) = self.store_faults;
        let is_undisturbed = active == 0 && now > since + MAX_CONFIGURATION_DELAY;
        if is_undisturbed {
            Duration::ZERO
        } else {
            MAX_CONFIGURATION_DELAY
        }
    }

    /// Returns the gateway that a flow's packets go to now. While any gateway
    /// of the caller's availability zone is in rotation it is one of that zone:
    /// one in rotation, or any of them if fewer than half are. Otherwise it is
    /// one in rotation of another zone, or any if none is in rotation. The
    /// choice is stable while the set of candidates is.
    #[must_use]
    pub fn gateway_of(&self, flow: &FlowId, caller: usize) -> usize {
        let zone = self.topology.zone(caller);
        let own: Vec<usize> = (0..self.topology.gateways)
            .filter(|gateway| self.topology.zone(*gateway) == zone)
            .collect();
        let ready: Vec<usize> = own
            .iter()
            .copied()
            .filter(|one| self.rotation[*one])
            .collect();
        let others = (0..self.topology.gateways).filter(|one| self.rotation[*one]);
        let others: Vec<usize> = others.collect();
        let candidates = match () {
            () if !ready.is_empty() && 2 * ready.len() >= own.len() => ready,
            () if !ready.is_empty() => own,
            () if !others.is_empty() => others,
            () => (0..self.topology.gateways).collect(),
        };
        let best = candidates.into_iter().max_by_key(|gateway| {
            let key = flow.caller_key() ^ u64::from(flow.service.ip().to_bits());
            Rng::with_seed(key.rotate_left(17) ^ (*gateway as u64)).u64(..)
        });
        best.unwrap_or_default()
    }

    /// Returns the sender of a frame that reached the link of a host, and the
    /// frame's extra delay; `None` where the frame is lost.
    pub fn frame_delay(&mut self, to: usize, from: SocketAddr) -> Option<(usize, Duration)> {
        let SocketAddr::V4(from) = from else {
            return None;
        };
        let from = Network::index(*from.ip());
        let (sender, receiver) = (self.hosts.get(from)?, self.hosts.get(to)?);
        let delay =
            crate::link::extra_delay(&sender.link_fault, &receiver.link_fault, &mut self.random)?;
        Some((from, delay))
    }

    /// Records a violation where an open flow was reset although its backend
    /// server runs, its address is routed, and no fault disturbs its path.
    pub fn check_reset(&mut self, now: Duration, from: SocketAddr, flow: &FlowId) {
        let Some((server, start)) = self.checker.holder(flow) else {
            return;
        };
        let held = &self.servers[server];
        let lives = held.instance.is_some() && held.starts == start;
        let is_routed = self.history.newest().contains_key(&flow.service);
        let oldest = self.topology.limits.bounds.oldest_flow;
        let opened = self.opening_of(flow).map(|(at, _)| at);
        let is_counted = opened.is_none_or(|at| now < at + oldest);
        if lives
            && is_routed
            && is_counted
            && self.is_path_undisturbed(now, flow, server, Some(from))
        {
            let text = format!("{flow:?}, open at server {server}, was reset by {from}");
            self.checker
                .record_violation(Invariant::Unbroken, now, text);
        }
    }

    /// Records a violation where packets of an open flow are misrouted although
    /// no fault disturbs its path.
    pub fn check_misrouted(&mut self, now: Duration, flow: &FlowId, at: usize) {
        let Some((server, _)) = self.checker.holder(flow) else {
            return;
        };
        if self.is_path_undisturbed(now, flow, server, None) {
            let text = format!("{flow:?}, open at server {server}, was misrouted to server {at}");
            self.checker
                .record_violation(Invariant::Straight, now, text);
        }
    }

    /// Returns whether no fault disturbs the hosts on the path of a flow and
    /// the sender of a reset.
    fn is_path_undisturbed(
        &self,
        now: Duration,
        flow: &FlowId,
        server: usize,
        sender: Option<SocketAddr>,
    ) -> bool {
        let caller = Network::index(*flow.caller.ip());
        let sender = sender.and_then(|sender| match sender {
            SocketAddr::V4(sender) => Some(Network::index(*sender.ip())),
            SocketAddr::V6(_) => None,
        });
        let gateway = self.gateway_of(flow, caller);
        let hosts = [gateway, self.host_of(server)].into_iter().chain(sender);
        let since = now.saturating_sub(self.topology.limits.undisturbed);
        hosts
            .filter_map(|host| self.hosts.get(host))
            .all(|host| host.is_undisturbed_since(since, Cause::Fault))
    }
}

fn new_host(topology: &Topology, network: Network, folder: &Path, host: usize) -> Host {
    let own = network.process(host);
    let is_gateway = host < topology.gateways;
    let server = (!is_gateway).then(|| ServerSettings {
        outgoing: socket(own, OUTGOING_PORT),
        address: socket(own, SERVER_PORT),
        service: topology.services[topology.service_of(host - topology.gateways)]
            .name
            .clone(),
    });
    let seeds = 0..topology.gateways.min(SEED_ENTRIES);
    let settings = Settings {
        name: format!("host-{host}"),
        address: network.link(host).into(),
        zone: topology.zone(host),
        zones: topology.regions(),
        packets: socket(own, PACKET_PORT),
        ready: socket(own, READY_PORT),
        announcements: socket(own, ANNOUNCEMENT_PORT),
        server,
        internal_port: FRAME_PORT,
        seeds: seeds
            .map(|seed| socket(network.link(seed), ANNOUNCEMENT_PORT))
            .collect(),
        store: network.store_link(host),
        is_first_start: true,
        bounds: topology.limits.bounds,
        link_mbps: topology.link_mbps(host),
    };
    let bind = address::socket(own, FRAME_PORT);
    let role = if is_gateway { "gateway" } else { "sidecar" };
    Host::new(settings, bind, role, folder.to_path_buf())
}
