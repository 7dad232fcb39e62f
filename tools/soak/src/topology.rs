//! Draws a deployment and its load from a seed.
use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use platform_standin::host::Bounds;

/// Factors by which a deployment may scale its time bounds.
const BOUND_SCALES: [f64; 4] = [1.0, 1.0, 0.67, 2.0];

/// Numbers from which revisions, versions and announcements may be counted, beside those of
/// each width that a process may hold them in.
const FIRST_NUMBERS: [u64; 8] = [
    0,
    1,
    1_000,
    4_000_000,
    (1 << 32) - 3,
    (1 << 48) - 3,
    1_796_000_000_000_000,
    u64::MAX - (1 << 32),
];

/// Eras of a store at the start of a run.
const FIRST_ERAS: [u64; 4] = [1, 1, 65_534, 1 << 40];

/// Priorities of the routes of the first service; the others have the next ones.
const FIRST_PRIORITIES: [u64; 6] = [0, 0, 126, 253, 300, u64::MAX - 8];

/// Idle timeouts with the largest ages of flows, in seconds.
const FLOW_TIMES: [(u64, u64); 3] = [(15, 60), (15, 60), (80, 120)];

/// Target load of the backend servers, in percent of their slots.
const LOAD_PERCENT: u64 = 35;

/// Rate of the network links beside slow ones, in megabits per second.
pub const FAST_MBPS: f64 = 200.0;

/// Long flows of a service, per backend server.
const LONG_FLOWS_PER_SERVER: usize = 6;

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of entry hosts.
    pub gateways: usize,
    /// Services, each with its backend servers and its load.
    pub services: Vec<Service>,
    /// What the platform and backend servers start with.
    pub origins: Origins,
    /// Time limits of the invariants.
    pub limits: Limits,
    /// Rate of the network link that the settings of every other entry host state, in
    /// megabits per second; the other hosts have [`FAST_MBPS`]. The harness does not
    /// limit the links.
    pub slow_mbps: Option<f64>,
}

/// What the platform and backend servers start with.
#[derive(Clone, Copy, Debug)]
pub struct Origins {
    /// Era of the store.
    pub era: u64,
    /// Revision of the store before the first change.
    pub revision: u64,
    /// Version of the configuration before the first one.
    pub version: u64,
    /// Number of the first announcement of a backend server.
    pub sequence: u64,
    /// Priority of the routes of the first service; the others have the next ones.
    pub priority: u64,
    /// Whether backend servers listen for health checks as long as they run.
    pub listens: bool,
}

/// A service and its load.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of requests that each backend server runs at a time.
    pub slots: u16,
    /// Service time of a request on the fastest possible backend server.
    pub work: Duration,
    /// Requests per second.
    pub rate: u32,
    /// Whether a request may run again after it failed.
    pub is_idempotent: bool,
    /// Number of long flows, which carry many requests each; with none, each
    /// request has a flow of its own.
    pub long_flows: usize,
    /// Bytes of the content of a request and of its answer.
    pub lengths: (u32, u32),
    /// Deadline of a task, from its arrival.
    pub deadline: Duration,
}

/// Time limits that the invariants allow in a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bounds that the settings files give to the processes.
    pub bounds: Bounds,
    /// Time without a disturbance after which a host counts as undisturbed.
    pub undisturbed: Duration,
    /// Time within which a configuration has to be in force.
    pub apply: Duration,
    /// Time after which a draining backend server may get no new flows.
    pub drain: Duration,
    /// Time within which service has to recover after the last disturbance.
    pub recovery: Duration,
    /// Time for which all packets of an open flow may be misrouted.
    pub misrouted: Duration,
    /// Idle time after which the system may drop a flow.
    pub idle: Duration,
}

impl Topology {
    /// Draws a deployment with at most `max_servers` backend servers, but at
    /// least one for each service.
    #[must_use]
    pub fn draw(seed: u64, max_servers: usize) -> Self {
        let random = &mut Rng::with_seed(seed);
        let scale = BOUND_SCALES[random.usize(..BOUND_SCALES.len())];
        let mut left = max_servers;
        let services = 1 + random.usize(..3);
        let services = (0..services)
            .map(|number| {
                let share = (left / (services - number)).max(1);
                let servers = 1 + random.usize(..share);
                left = left.saturating_sub(servers);
                service(random, number, servers)
            })
            .collect();
        Self {
            seed,
            zones: 1 + random.usize(..6),
            gateways: 1 + random.usize(..6),
            services,
            origins: Origins::draw(seed),
            limits: Limits::scaled(scale).with_flow_times(seed),
            slow_mbps: None,
        }
    }

    /// Returns the number of backend servers of all services.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.services.iter().map(|service| service.servers).sum()
    }

    /// Returns the number of hosts: entry hosts first, then those of backend
    /// servers.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.gateways + self.servers()
    }

    /// Returns the rate of a host's network link that its settings state.
    #[must_use]
    pub fn link_mbps(&self, host: usize) -> Option<f64> {
        let is_slow = host < self.gateways && host.is_multiple_of(2);
        self.slow_mbps
            .map(|slow| if is_slow { slow } else { FAST_MBPS })
    }

    /// Returns the name of the availability zone of a host, or of a host of
    /// callers.
    #[must_use]
    pub fn zone(&self, number: usize) -> String {
        zone(number % self.zones)
    }

    /// Returns the region of each availability zone; all are in the same one.
    #[must_use]
    pub fn regions(&self) -> BTreeMap<String, String> {
        let zones = 0..self.zones;
        zones
            .map(|number| (zone(number), "region".into()))
            .collect()
    }

    /// Returns the index of a backend server's service.
    #[must_use]
    pub fn service_of(&self, server: usize) -> usize {
        let mut left = server;
        for (number, service) in self.services.iter().enumerate() {
            if left < service.servers {
                return number;
            }
            left -= service.servers;
        }
        0
    }
}

impl Origins {
    /// Draws numbers apart from the main sequence, so that the seeds of earlier failures
    /// still mean the same deployments.
    fn draw(seed: u64) -> Self {
        let random = &mut Rng::with_seed(seed.rotate_left(24));
        let number = |random: &mut Rng| FIRST_NUMBERS[random.usize(..FIRST_NUMBERS.len())];
        Self {
            era: FIRST_ERAS[random.usize(..FIRST_ERAS.len())],
            revision: number(random),
            version: number(random),
            sequence: number(random),
            priority: FIRST_PRIORITIES[random.usize(..FIRST_PRIORITIES.len())],
            listens: random.bool(),
        }
    }
}

impl Limits {
    /// Draws the idle timeout and the largest age of flows.
    fn with_flow_times(mut self, seed: u64) -> Self {
        let random = &mut Rng::with_seed(seed.rotate_left(40));
        let (idle, oldest) = FLOW_TIMES[random.usize(..FLOW_TIMES.len())];
        self.idle = Duration::from_secs(idle);
        self.bounds.oldest_flow = Duration::from_secs(oldest);
        self
    }

    fn scaled(scale: f64) -> Self {
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds * scale);
        Self {
            bounds: Bounds {
                heartbeat: Duration::from_millis(770),
                stop: seconds(6.0),
                reuse: seconds(2.0).max(Duration::from_secs(2)),
                oldest_flow: Duration::from_mins(1),
                evacuation: Duration::from_secs(5),
            },
            undisturbed: seconds(4.0),
            apply: seconds(3.0),
            drain: seconds(3.0),
            recovery: seconds(12.0),
            misrouted: Duration::from_secs(2),
            idle: Duration::from_secs(15),
        }
    }
}

fn service(random: &mut Rng, number: usize, servers: usize) -> Service {
    let slots = [1, 2, 4][random.usize(..3)];
    let work_ms = random.u64(5..60);
    let percent_per_ms = LOAD_PERCENT * u64::from(slots) * servers as u64;
    let rate = percent_per_ms * MILLIS_PER_SECOND / PERCENT / work_ms;
    let rate = rate.clamp(1, MAX_RATE);
    let is_long = random.bool();
    // Keeps the time between two requests of a long flow well below the idle
    // limit.
    let most = usize::try_from(rate * LONG_GAP_S).unwrap_or(usize::MAX);
    let long_flows = (servers * LONG_FLOWS_PER_SERVER).min(most);
    Service {
        name: format!("service-{number}"),
        servers,
        slots,
        work: Duration::from_millis(work_ms),
        rate: u32::try_from(rate).unwrap_or(u32::MAX),
        is_idempotent: random.bool(),
        long_flows: if is_long { long_flows } else { 0 },
        lengths: [(0, 1_000), (900, 600), (20_000, 300), (0, 20_000)][random.usize(..4)],
        deadline: Duration::from_millis(random.u64(1_500..5_000)),
    }
}

/// Largest mean time between two requests of a long flow, in seconds.
const LONG_GAP_S: u64 = 4;

/// Largest rate of a service, in requests per second: the soak simulates all
/// callers and backend servers in one thread.
const MAX_RATE: u64 = 60;

const MILLIS_PER_SECOND: u64 = 1_000;
const PERCENT: u64 = 100;

fn zone(number: usize) -> String {
    format!("zone-{number}")
}
