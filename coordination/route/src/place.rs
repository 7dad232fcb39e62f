//! Ranks backend servers for a new flow by when it would be answered there.
//!
//! Answers the load of flows that are carried unread, whose placement cannot be
//! changed later: idle and fast backend servers of the own availability zone
//! come first, and others as soon as the wait here exceeds the way there. What
//! is known of a backend server is its load when it last took a flow; the agents
//! beside them know better, and pass on what does not fit.
use std::collections::HashMap;
use std::time::Duration;

use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::transit::Load;

/// Limits of a [`Place`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What a flow to another availability zone costs, as a wait: the round
    /// trips of its opening, request and answer, and its bytes.
    pub crossing: Duration,
    /// Service time assumed of a backend server that has not told its own.
    pub service_time: Duration,
    /// Largest random time that is added to each expectation.
    pub spread: Duration,
    /// Time for which a backend server that did not answer is ranked last.
    pub distrust: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            crossing: Duration::from_millis(12),
            service_time: Duration::from_millis(20),
            spread: Duration::from_millis(10),
            distrust: Duration::from_secs(2),
        }
    }
}

/// Backend servers ranked for new flows by their expected time to answer.
#[derive(Debug)]
pub struct Place {
    settings: Settings,
    zone: ZoneId,
    seen: HashMap<TargetId, Seen>,
    random: fastrand::Rng,
}

/// What is known of the load of one backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    load: Option<Load>,
    at: Duration,
    /// Flows sent there since it told its load.
    sent: u16,
    distrusted_until: Duration,
}

impl Place {
    /// Ranks for an entry in `zone`; the seed decides between equals.
    #[must_use]
    pub fn new(settings: Settings, zone: ZoneId, seed: u64) -> Self {
        Self {
            settings,
            zone,
            seen: HashMap::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes the load that a backend server has told.
    pub fn learn(&mut self, now: Duration, target: TargetId, load: Load) {
        let seen = self.seen.entry(target).or_default();
        *seen = Seen {
            load: Some(load),
            at: now,
            sent: 0,
            distrusted_until: Duration::ZERO,
        };
    }

    /// Notes that a new flow was sent to a backend server.
    pub fn sent(&mut self, target: TargetId) {
        let seen = self.seen.entry(target).or_default();
        seen.sent = seen.sent.saturating_add(1);
    }

    /// Notes that a backend server, or its agent, did not answer.
    pub fn distrust(&mut self, now: Duration, target: TargetId) {
        let seen = self.seen.entry(target).or_default();
        seen.distrusted_until = now + self.settings.distrust;
    }

    /// Forgets the backend servers that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(TargetId) -> bool) {
        self.seen.retain(|target, _| keep(*target));
    }

    /// The best `count` of the given backend servers for a new flow.
    pub fn rank<'a>(
        &mut self,
        now: Duration,
        targets: impl Iterator<Item = &'a Target>,
        count: usize,
    ) -> Vec<&'a Target> {
        let mut ranked: Vec<(bool, Duration, &Target)> = targets
            .map(|target| {
                let (is_distrusted, cost) = self.cost(now, target);
                // Entries that know the same do not all choose the same.
                let spread = self.settings.spread.mul_f64(self.random.f64());
                (is_distrusted, cost + spread, target)
            })
            .collect();
        ranked.sort_unstable_by_key(|(is_distrusted, cost, _)| (*is_distrusted, *cost));
        ranked.truncate(count);
        ranked.into_iter().map(|(.., target)| target).collect()
    }

    /// Whether a backend server is distrusted, and its expected time to answer.
    fn cost(&self, now: Duration, target: &Target) -> (bool, Duration) {
        let seen = self.seen.get(&target.id).copied().unwrap_or_default();
        let mut load = seen.load.unwrap_or(Load {
            slots: target.slots,
            service_us: micros(self.settings.service_time),
            ..Load::default()
        });
        let age = now.saturating_sub(seen.at);
        let left = load.running.saturating_sub(answered(age, &load));
        load.running = left.saturating_add(seen.sent);
        let way = if target.zone == self.zone {
            Duration::ZERO
        } else {
            self.settings.crossing
        };
        let cost = load.wait() + load.service_time() + load.held() + load.risk() + way;
        (now < seen.distrusted_until, cost)
    }
}

/// Requests that a backend server has answered since it told its load.
fn answered(age: Duration, load: &Load) -> u16 {
    let service_us = u128::from(load.service_us.max(1));
    let answered = age.as_micros() * u128::from(load.slots.max(1)) / service_us;
    u16::try_from(answered).unwrap_or(u16::MAX)
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
