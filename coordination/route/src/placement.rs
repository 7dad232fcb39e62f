//! Ranks backend servers for a new flow by their expected time to answer.
//!
//! Used for forwarded flows, whose packets are relayed without being parsed;
//! such a flow cannot be moved after placement. Idle and fast backend servers
//! of the own availability zone rank first; a backend server of another zone
//! ranks before them once the wait in the own zone exceeds the cost of crossing
//! zones. That cost is a share of the target latency of the flow's route: what is
//! answered in the own zone in good time stays there, and reported service times
//! that differ by a few milliseconds send no flow across. A backend server's load
//! is known only as of its last report, such as when it accepted a flow. Its agent
//! has current figures, and forwards flows that exceed its capacity.
use std::collections::HashMap;
use std::time::Duration;

use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::transit::Load;

use crate::Trend;

/// Parameters of a [`Placement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum cost of sending a flow to another availability zone, expressed as
    /// a wait: the round trips for its open, request and answer, and its traffic.
    /// Also the cost where no target latency is known.
    pub cross_zone_cost: Duration,
    /// Divisor of the target latency that gives the cost of sending a flow to
    /// another availability zone, where that is more than the minimum.
    pub target_latency_divisor: u32,
    /// Cost of sending a flow to another availability zone, in place of the one that
    /// is derived from the target latency and the size of requests.
    pub fixed_crossing_cost: Option<Duration>,
    /// Service time assumed for a backend server that has not reported its
    /// load.
    pub service_time: Duration,
    /// Maximum jitter added to each expected time to answer.
    pub jitter: Duration,
    /// Time for which a backend server that did not answer ranks last.
    pub unresponsive_time: Duration,
    /// Time without any report from an availability zone, before a backend server
    /// there was found not to answer, after which the whole zone may be lost.
    pub zone_silence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cross_zone_cost: Duration::from_millis(12),
            target_latency_divisor: TARGET_LATENCY_DIVISOR,
            fixed_crossing_cost: None,
            service_time: Duration::from_millis(20),
            jitter: Duration::from_millis(10),
            unresponsive_time: Duration::from_secs(2),
            zone_silence: Duration::from_millis(150),
        }
    }
}

/// Default of [`Settings::target_latency_divisor`].
const TARGET_LATENCY_DIVISOR: u32 = 4;

/// Divisor of a server's service time in its cost. With the full service time, a server
/// at half speed got a third of the requests of the others rather than half while
/// these were a third busier; requests answered in time were equally many.
const SERVICE_TIME_DIVISOR: u32 = 4;

/// Bytes of a request and its answer up to which a request crosses at the cost that is
/// derived from the target latency. The cost grows with the square root of the bytes
/// above, up to [`MAX_SIZE_FACTOR`].
const REFERENCE_BYTES: f64 = 4_000.0;

/// Upper limit of the factor for large requests: half of the target latency remains
/// for the answer.
const MAX_SIZE_FACTOR: f64 = 2.0;

/// Number of requests from which on a flow counts as long.
const LONG_FLOW_REQUESTS: f64 = 2.0;

/// Times by which the use of a zone is projected ahead: for a long flow, which cannot
/// be moved, and for another one, whose gateway has reports that are as old.
const LONG_FLOW_HORIZON: Duration = Duration::from_secs(2);
const SHORT_FLOW_HORIZON: Duration = Duration::from_millis(300);

/// Interval of the samples of the use of a zone.
const TREND_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of trends, one for each service and zone, before they are dropped.
const MAX_TRENDS: usize = 4_096;

/// Expected share of used slots of the own zone from which on the cost of crossing
/// falls; at 1 it is the minimum.
const OVERFLOW_USE: f64 = 0.75;

/// Least share of its slots with which a zone counts when flows go to other zones: its
/// last reports may be old.
const MIN_SPARE: f64 = 0.05;

/// What is known about a new flow before it is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Target latency of the flow's route; zero where none is known.
    pub target_latency: Duration,
    /// Whether the bids of the agents will include the cost of crossing zones.
    pub are_bids_priced: bool,
    /// Learned mean number of requests of the route's flows; 0 where unknown.
    pub requests: f64,
    /// Learned mean bytes of a request and its answer; 0 where unknown.
    pub request_bytes: f64,
}

/// A backend server that may get a new flow.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    target: &'a Target,
    /// Whether it, or its whole zone, recently did not answer.
    is_unresponsive: bool,
    /// Expected wait of the flow's first request.
    wait: Duration,
    /// Expected time to answer, with the cost of crossing zones.
    cost: Duration,
}

/// Availability zone of a service, and the indices of its backend servers among those
/// that may get a new flow.
type Zone = ((ServiceAddress, ZoneId), Vec<usize>);

/// Ranking of backend servers for new flows by their expected time to answer.
#[derive(Debug)]
pub struct Placement {
    settings: Settings,
    zone: ZoneId,
    observations: HashMap<TargetId, Observation>,
    trends: HashMap<(ServiceAddress, ZoneId), Trend>,
    random: fastrand::Rng,
}

/// The last known load of one backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    load: Option<Load>,
    updated: Duration,
    /// Number of flows sent to the backend server since it reported its load.
    sent: u16,
    unresponsive_until: Duration,
}

/// What is known about the silence of an availability zone.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    /// Number of backend servers that recently did not answer.
    unresponsive: usize,
    /// Time until which the last of them ranks last.
    until: Duration,
    last_report: Duration,
}

/// Number of unresponsive backend servers from which on their availability zone may be
/// lost; a single one may have failed alone.
const MIN_UNRESPONSIVE: usize = 2;

impl Placement {
    /// Creates a ranking for an entry in `zone`; the seed drives the jitter.
    #[must_use]
    pub fn new(settings: Settings, zone: ZoneId, seed: u64) -> Self {
        Self {
            settings,
            zone,
            observations: HashMap::new(),
            trends: HashMap::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Records the load that a backend server reported.
    pub fn record_load(&mut self, now: Duration, target: TargetId, load: Load) {
        let observation = self.observations.entry(target).or_default();
        *observation = Observation {
            load: Some(load),
            updated: now,
            sent: 0,
            unresponsive_until: Duration::ZERO,
        };
    }

    /// Records that a new flow was sent to a backend server.
    pub fn record_sent(&mut self, target: TargetId) {
        let observation = self.observations.entry(target).or_default();
        observation.sent = observation.sent.saturating_add(1);
    }

    /// Records that a backend server, or its agent, did not answer, which makes
    /// it rank last for [`Settings::unresponsive_time`].
    pub fn mark_unresponsive(&mut self, now: Duration, target: TargetId) {
        let observation = self.observations.entry(target).or_default();
        observation.unresponsive_until = now + self.settings.unresponsive_time;
    }

    /// Removes the backend servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetId) -> bool) {
        self.observations.retain(|target, _| keep(*target));
    }

    /// Returns the cost of sending a flow of a service to another availability zone,
    /// expressed as a wait. It falls as the own zone fills up, so that flows leave
    /// before it is full, and the fuller it is the more of them.
    #[must_use]
    pub fn crossing_cost(&self, need: &Need, service: Option<ServiceAddress>) -> Duration {
        let settings = &self.settings;
        let share = need.target_latency / settings.target_latency_divisor.max(1);
        let factor = (need.request_bytes / REFERENCE_BYTES).sqrt();
        let share = share.mul_f64(factor.clamp(1.0, MAX_SIZE_FACTOR));
        let cost = settings
            .fixed_crossing_cost
            .unwrap_or_else(|| share.max(settings.cross_zone_cost));
        let used = service.and_then(|service| self.expected_use(need, service, self.zone));
        let left = (1.0 - used.unwrap_or_default()) / (1.0 - OVERFLOW_USE);
        let least = settings.cross_zone_cost.min(cost);
        cost.mul_f64(left.clamp(0.0, 1.0)).max(least)
    }

    /// Returns the `count` best of the given backend servers for a new flow,
    /// best first.
    pub fn rank<'a>(
        &mut self,
        now: Duration,
        need: &Need,
        targets: impl Iterator<Item = &'a Target>,
        count: usize,
    ) -> Vec<&'a Target> {
        let targets: Vec<&Target> = targets.collect();
        let zones = zones_of(&targets);
        self.record_use(now, &targets, &zones);
        let service = targets.first().map(|target| target.service);
        let crossing_cost = self.crossing_cost(need, service);
        let silent_zones = self.silent_zones(now, &targets);
        let mut ranked: Vec<Candidate<'a>> = targets
            .into_iter()
            .map(|target| {
                let candidate = self.assess(now, target, crossing_cost);
                // Without the jitter, all entries with the same information
                // would choose the same backend server.
                let jitter = self.settings.jitter.mul_f64(self.random.f64());
                Candidate {
                    cost: candidate.cost + jitter,
                    is_unresponsive: candidate.is_unresponsive
                        || silent_zones.contains(&target.zone),
                    ..candidate
                }
            })
            .collect();
        self.prefer_spare_zone(need, crossing_cost, &zones, &mut ranked);
        ranked.sort_unstable_by_key(|one| (one.is_unresponsive, one.cost));
        if need.are_bids_priced {
            self.offer_way_out(&mut ranked, count);
        }
        ranked.truncate(count);
        ranked.into_iter().map(|one| one.target).collect()
    }

    /// Records the share of used slots of each zone.
    fn record_use(&mut self, now: Duration, targets: &[&Target], zones: &[Zone]) {
        if self.trends.len() > MAX_TRENDS {
            self.trends.clear();
        }
        for (key, members) in zones {
            let trend = self.trends.entry(*key).or_default();
            if !trend.is_due(now, TREND_INTERVAL) {
                continue;
            }
            let reports = members.iter().filter_map(|index| {
                let target = targets[*index];
                let load = self.observations.get(&target.id)?.load?;
                let used = f64::from(load.used_permille?) / 1_000.0;
                Some((used, f64::from(target.slots.max(1))))
            });
            let (used, slots) = reports.fold((0.0, 0.0), |(used, slots), (share, count)| {
                (used + share * count, slots + count)
            });
            if slots > 0.0 {
                trend.record(now, used / slots);
            }
        }
    }

    /// Returns the share of used slots that a zone will have while a flow lasts, if it
    /// is known.
    fn expected_use(&self, need: &Need, service: ServiceAddress, zone: ZoneId) -> Option<f64> {
        let is_long = need.requests >= LONG_FLOW_REQUESTS;
        let horizon = if is_long {
            LONG_FLOW_HORIZON
        } else {
            SHORT_FLOW_HORIZON
        };
        self.trends.get(&(service, zone))?.expected(horizon)
    }

    /// Draws one of the other zones, by the slots that will be free there, and makes the
    /// rest cost more. Entries that decide alone then spread what leaves a zone by what
    /// the others can take, and do not all follow the latest report.
    fn prefer_spare_zone(
        &mut self,
        need: &Need,
        crossing_cost: Duration,
        zones: &[Zone],
        candidates: &mut [Candidate<'_>],
    ) {
        let others = zones.iter().filter(|((_, zone), _)| *zone != self.zone);
        let others: Vec<&Zone> = others.collect();
        if others.len() < 2 {
            return;
        }
        let spare = others.iter().map(|((service, zone), members)| {
            let used = self.expected_use(need, *service, *zone);
            let free = (1.0 - used.unwrap_or_default()).max(MIN_SPARE);
            let usable = members.iter().map(|index| &candidates[*index]);
            let usable = usable.filter(|one| !one.is_unresponsive);
            usable.map(|one| f64::from(one.target.slots) * free).sum()
        });
        let spare: Vec<f64> = spare.collect();
        let mut drawn = self.random.f64() * spare.iter().sum::<f64>();
        let chosen = spare.iter().position(|slots| {
            drawn -= slots;
            drawn < 0.0
        });
        let rest = others.iter().enumerate();
        let rest = rest.filter(|(index, _)| Some(*index) != chosen);
        for index in rest.flat_map(|(_, (_, members))| members) {
            candidates[*index].cost += crossing_cost / 2;
        }
    }

    /// Puts the best backend server of another zone at the end of a path within the
    /// own zone whose last server is expected to let the flow wait. Without one, a
    /// flow that finds all servers of the path full has to wait there. The bids
    /// decide; they include the cost of crossing.
    fn offer_way_out(&self, ranked: &mut [Candidate<'_>], count: usize) {
        let is_outside = |one: &Candidate<'_>| one.target.zone != self.zone;
        let Some(last) = count.checked_sub(1).filter(|last| *last > 0) else {
            return;
        };
        let has_way_out = ranked.iter().take(count).any(is_outside);
        let may_wait = ranked.get(last).is_some_and(|one| !one.wait.is_zero());
        let best = ranked
            .iter()
            .position(|one| is_outside(one) && !one.is_unresponsive);
        match best {
            Some(best) if !has_way_out && may_wait => ranked.swap(last, best),
            _ => {}
        }
    }

    /// Returns the availability zones that may be lost: several backend servers there
    /// did not answer, and no other has reported since. Their servers rank last, so
    /// that flows do not try them one after the other.
    fn silent_zones(&self, now: Duration, targets: &[&Target]) -> Vec<ZoneId> {
        let mut zones: Vec<(ZoneId, Silence)> = Vec::new();
        for target in targets {
            let Some(observation) = self.observations.get(&target.id) else {
                continue;
            };
            let index = zones.iter().position(|(zone, _)| *zone == target.zone);
            let index = index.unwrap_or_else(|| {
                zones.push((target.zone, Silence::default()));
                zones.len() - 1
            });
            let silence = &mut zones[index].1;
            silence.last_report = silence.last_report.max(observation.updated);
            if now < observation.unresponsive_until {
                silence.unresponsive += 1;
                silence.until = silence.until.max(observation.unresponsive_until);
            }
        }
        let settings = &self.settings;
        zones.retain(|(_, silence)| {
            let found_at = silence.until.saturating_sub(settings.unresponsive_time);
            silence.unresponsive >= MIN_UNRESPONSIVE
                && silence.last_report + settings.zone_silence <= found_at
        });
        zones.into_iter().map(|(zone, _)| zone).collect()
    }

    /// Assesses a backend server by its last known load.
    fn assess<'a>(
        &self,
        now: Duration,
        target: &'a Target,
        crossing_cost: Duration,
    ) -> Candidate<'a> {
        let observation = self
            .observations
            .get(&target.id)
            .copied()
            .unwrap_or_default();
        let mut load = observation.load.unwrap_or(Load {
            slots: target.slots,
            service_us: to_micros(self.settings.service_time),
            ..Load::default()
        });
        let age = now.saturating_sub(observation.updated);
        let running = load.running.saturating_sub(answered_since(age, &load));
        load.running = running.saturating_add(observation.sent);
        let zone_cost = if target.zone == self.zone {
            Duration::ZERO
        } else {
            crossing_cost
        };
        let cost = load.wait()
            + load.service_time() / SERVICE_TIME_DIVISOR
            + load.held()
            + load.risk()
            + zone_cost;
        Candidate {
            target,
            is_unresponsive: now < observation.unresponsive_until,
            wait: load.wait(),
            cost,
        }
    }
}

/// Returns the backend servers of each service and zone.
fn zones_of(targets: &[&Target]) -> Vec<Zone> {
    let mut zones: Vec<Zone> = Vec::new();
    for (index, target) in targets.iter().enumerate() {
        let key = (target.service, target.zone);
        match zones.iter_mut().find(|(known, _)| *known == key) {
            Some((_, members)) => members.push(index),
            None => zones.push((key, vec![index])),
        }
    }
    zones
}

/// Estimates how many requests a backend server has answered since it reported
/// its load, `age` ago.
fn answered_since(age: Duration, load: &Load) -> u16 {
    let service_us = u128::from(load.service_us.max(1));
    let answered = age.as_micros() * u128::from(load.slots.max(1)) / service_us;
    u16::try_from(answered).unwrap_or(u16::MAX)
}

fn to_micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
