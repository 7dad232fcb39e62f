//! Draws a deployment from a seed.
use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use platform_standin::host::Bounds;

/// The scales of the bounds that are drawn, as factors.
const BOUND_SCALES: [f64; 4] = [1.0, 1.0, 0.67, 2.0];

/// Load of the backend servers that is aimed at, in percent of their slots.
const LOAD_PERCENT: u64 = 35;

/// Long flows that each service has, for each of its backend servers.
const LONG_FLOWS_PER_SERVER: usize = 6;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Seed of all choices.
    pub seed: u64,
    /// Availability zones.
    pub zones: usize,
    /// Entry hosts.
    pub gateways: usize,
    /// Services.
    pub services: Vec<Service>,
    /// What the rules allow.
    pub limits: Limits,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Backend servers.
    pub servers: usize,
    /// Requests that each runs at a time.
    pub slots: u16,
    /// Mean time of a request on the fastest of them.
    pub service_time: Duration,
    /// Requests a second.
    pub rate: u32,
    /// Whether a request may run again after it failed.
    pub is_idempotent: bool,
    /// Flows that are held open for many requests; none: each request has its
    /// own.
    pub long_flows: usize,
    /// Bytes of a request and of its answer.
    pub lengths: (u32, u32),
    /// Time that a request has.
    pub deadline: Duration,
}

/// What the rules allow, in a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// What the processes are told.
    pub bounds: Bounds,
    /// Time without disturbance after which a host counts as undisturbed.
    pub undisturbed: Duration,
    /// Time until a configuration is in force.
    pub apply: Duration,
    /// Time until a backend server that drains gets no new flows.
    pub drain: Duration,
    /// Time until service is back after everything failed.
    pub recovery: Duration,
    /// Time for which a flow's packets may all go astray.
    pub misrouted: Duration,
    /// Idle time after which a flow may be given up.
    pub idle: Duration,
}

impl Topology {
    /// Draws a deployment of some size: the number of backend servers at most.
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
            limits: Limits::scaled(scale),
        }
    }

    /// Backend servers of all services.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.services.iter().map(|service| service.servers).sum()
    }

    /// Number of all hosts: entry hosts first, then those of backend servers.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.gateways + self.servers()
    }

    /// Name of the availability zone of a host or caller.
    #[must_use]
    pub fn zone(&self, number: usize) -> String {
        zone(number % self.zones)
    }

    /// The region of each availability zone.
    #[must_use]
    pub fn regions(&self) -> BTreeMap<String, String> {
        let zones = 0..self.zones;
        zones
            .map(|number| (zone(number), "region".into()))
            .collect()
    }

    /// The service of each backend server.
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

impl Limits {
    fn scaled(scale: f64) -> Self {
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds * scale);
        Self {
            bounds: Bounds {
                heartbeat: Duration::from_millis(770),
                stop: seconds(6.0),
                reuse: seconds(2.0).max(Duration::from_secs(2)),
                oldest_flow: Duration::from_mins(1),
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
    let service_time_ms = random.u64(5..60);
    let percent_per_ms = LOAD_PERCENT * u64::from(slots) * servers as u64;
    let rate = percent_per_ms * MILLIS_PER_SECOND / PERCENT / service_time_ms;
    let rate = rate.clamp(1, MAX_RATE);
    let is_long = random.bool();
    // Each carries a request well within the idle time.
    let most = usize::try_from(rate * LONG_GAP_S).unwrap_or(usize::MAX);
    let long_flows = (servers * LONG_FLOWS_PER_SERVER).min(most);
    Service {
        name: format!("service-{number}"),
        servers,
        slots,
        service_time: Duration::from_millis(service_time_ms),
        rate: u32::try_from(rate).unwrap_or(u32::MAX),
        is_idempotent: random.bool(),
        long_flows: if is_long { long_flows } else { 0 },
        lengths: [(0, 1_000), (900, 600), (20_000, 300), (0, 20_000)][random.usize(..4)],
        deadline: Duration::from_millis(random.u64(1_500..5_000)),
    }
}

/// Mean time between two requests of a long flow, in seconds, at most.
const LONG_GAP_S: u64 = 4;

/// Requests a second of one service, at most: the soak plays all ends itself.
const MAX_RATE: u64 = 60;

const MILLIS_PER_SECOND: u64 = 1_000;
const PERCENT: u64 = 100;

fn zone(number: usize) -> String {
    format!("zone-{number}")
}
