//! Entries that follow a configuration and keep themselves registered.
mod store;

use std::time::Duration;

use config::Fault;
use config::Follower;
use config::Registration;
use config::era;
use config::follower;
use config::registration;
use fastrand::Rng;

use store::CONFIG;
use store::ENTRIES;
use store::Store;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(2);

/// Number of entries.
const ENTRY_COUNT: usize = 6;

/// Time between two rounds of gossip of an entry.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time after a restore until the operator writes again what was lost.
const REWRITE_MS: u64 = 300;

/// Timeout of a call beyond its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A fleet with its store and operator.
pub struct Fleet {
    now: Duration,
    random: Rng,
    store: Store,
    entries: Vec<Entry>,
    /// Newest version that the store has acknowledged to the operator.
    acknowledged: u64,
    rewrite_due: Option<Duration>,
    busiest: usize,
}

/// An entry, with its calls in flight.
struct Entry {
    follower: Follower,
    registration: Registration,
    latest_era: era::Latest,
    /// Version in force.
    version: u64,
    follow_call: Call<follower::Action>,
    register_call: Call<registration::Action>,
    /// Time until which the store does not answer this entry.
    cut_until: Duration,
    gossip_due: Duration,
    /// Times of the calls of the last second.
    calls: Vec<Duration>,
}

/// State of a task that makes one call after the other.
enum Call<T> {
    Idle {
        due: Duration,
    },
    /// Reaches the store at `due`, and is given up after `expiry`.
    Sent {
        action: T,
        due: Duration,
        expiry: Duration,
    },
}

impl Entry {
    fn new(index: usize, random: &mut Rng, now: Duration) -> Self {
        let key = format!("{ENTRIES}{index}");
        let settings = registration::Settings::default();
        Self {
            follower: Follower::new(follower::Settings::default(), CONFIG, random.u64(..)),
            registration: Registration::new(settings, key, random.u64(..), now),
            latest_era: era::Latest::default(),
            version: 0,
            follow_call: Call::Idle { due: now },
            register_call: Call::Idle { due: now },
            cut_until: Duration::ZERO,
            gossip_due: now,
            calls: Vec::new(),
        }
    }

    fn apply(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    fn count_call(&mut self, now: Duration) -> usize {
        self.calls.retain(|at| *at + Duration::from_secs(1) > now);
        self.calls.push(now);
        self.calls.len()
    }

    /// Runs the task that follows the configuration.
    fn follow(&mut self, now: Duration, store: &mut Store, random: &mut Rng) -> usize {
        match &self.follow_call {
            Call::Idle { due } if now >= *due => {
                let action = self.follower.next();
                let wait = match action {
                    follower::Action::Watch { wait, .. } => wait,
                    follower::Action::Read | follower::Action::List => Duration::ZERO,
                };
                self.follow_call = Call::Sent {
                    action,
                    due: now + latency(random),
                    expiry: now + wait + CALL_TIMEOUT,
                };
                self.count_call(now)
            }
            Call::Sent {
                action,
                due,
                expiry,
            } if now >= *due => {
                let is_lost = now < self.cut_until;
                let answer = match action {
                    _ if is_lost => None,
                    follower::Action::Read | follower::Action::List => {
                        store.get(&self.latest_era).map(follower::Event::Read)
                    }
                    follower::Action::Watch { since, wait } => store
                        .watch(&self.latest_era, *since, now >= *due + *wait)
                        .map(follower::Event::Watched),
                };
                let event = match answer {
                    Some(event) => event,
                    None if now >= *expiry => follower::Event::Read(Err(LOST)),
                    None => return 0,
                };
                let outcome = self.follower.handle(now, event);
                if outcome.restored.is_some() {
                    self.registration.on_restored(now);
                }
                if let Some(item) = outcome.value {
                    self.apply(store::version(&item));
                }
                let due = now + outcome.pause.max(STEP);
                self.follow_call = Call::Idle { due };
                0
            }
            _ => 0,
        }
    }

    /// Runs the task that keeps the entry registered.
    fn register(&mut self, now: Duration, store: &mut Store, random: &mut Rng) -> usize {
        match &self.register_call {
            Call::Idle { due } if now >= *due => match self.registration.next(now) {
                registration::Action::Sleep(_) => {
                    // A restore ends the sleep, so each step looks again.
                    self.register_call = Call::Idle { due: now + STEP };
                    0
                }
                action => {
                    self.register_call = Call::Sent {
                        action,
                        due: now + latency(random),
                        expiry: now + CALL_TIMEOUT,
                    };
                    self.count_call(now)
                }
            },
            Call::Sent {
                action,
                due,
                expiry,
            } if now >= *due => {
                let is_cut = now < self.cut_until;
                let key = self.registration.key();
                let event = match store.register(now, &self.latest_era, action, key, is_cut) {
                    Some(event) => event,
                    None if now >= *expiry => failed(action),
                    None => return 0,
                };
                self.registration.handle(now, event);
                self.register_call = Call::Idle { due: now + STEP };
                0
            }
            _ => 0,
        }
    }
}

const LOST: Fault = Fault::Lost {
    maybe_applied: true,
};

fn failed(action: &registration::Action) -> registration::Event {
    match action {
        registration::Action::Grant(_) => registration::Event::Granted(Err(LOST)),
        registration::Action::Acquire(_) => registration::Event::Acquired(Err(LOST)),
        registration::Action::Renew(_) => registration::Event::Renewed(Err(LOST)),
        registration::Action::List | registration::Action::Sleep(_) => {
            registration::Event::Listed(Err(LOST))
        }
    }
}

fn latency(random: &mut Rng) -> Duration {
    Duration::from_millis(random.u64(2..10))
}

impl Fleet {
    /// Creates a fleet whose operator has written one configuration.
    pub fn new(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let now = Duration::ZERO;
        let mut store = Store::default();
        store.write(now, 1);
        let entries = (0..ENTRY_COUNT)
            .map(|index| Entry::new(index, &mut random, now))
            .collect();
        Self {
            now,
            random,
            store,
            entries,
            acknowledged: 1,
            rewrite_due: None,
            busiest: 0,
        }
    }

    /// Runs with disturbances that begin within `span`; returns the time at which
    /// the last one ends and the operator has written again what was lost.
    pub fn run_disturbed(&mut self, span: Duration) -> Duration {
        let mut calm_since = self.now;
        while self.now < span {
            if self.random.f64() < 0.002 {
                let end = self.disturb();
                calm_since = calm_since.max(end);
            }
            self.step();
        }
        while self.now < calm_since || self.rewrite_due.is_some() {
            self.step();
        }
        self.now
    }

    /// Begins a disturbance and returns the time at which it ends.
    fn disturb(&mut self) -> Duration {
        let random = &mut self.random;
        let now = self.now;
        let duration = Duration::from_millis(random.u64(200..5_000));
        match random.u8(0..8) {
            0..=2 => {
                let copy = now.saturating_sub(Duration::from_millis(random.u64(1_000..10_000)));
                self.store.go_away(now + duration, Some(copy));
                // A change acknowledged right before is lost for certain.
                now + duration
            }
            3 => {
                self.store.go_away(now + duration, None);
                now + duration
            }
            4 => {
                self.store.lose_writes(now + duration);
                now + duration
            }
            5 => {
                for entry in &mut self.entries {
                    if random.bool() {
                        entry.cut_until = now + duration;
                    }
                }
                now + duration
            }
            6 => {
                let all = random.bool();
                for index in 0..ENTRY_COUNT {
                    if all || random.u8(0..3) == 0 {
                        self.entries[index] = Entry::new(index, random, now);
                    }
                }
                now
            }
            _ => {
                let version = self.acknowledged + random.u64(1..4);
                if self.store.is_serving(now) {
                    self.store.write(now, version);
                    self.acknowledged = version;
                }
                now
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        if self.store.advance(now) {
            let delay = Duration::from_millis(self.random.u64(0..REWRITE_MS));
            self.rewrite_due = Some(now + delay);
        }
        if self.rewrite_due.is_some_and(|due| now >= due) && self.store.is_serving(now) {
            self.store.write(now, self.acknowledged);
            self.rewrite_due = None;
        }
        for index in 0..ENTRY_COUNT {
            let before = self.entries[index].version;
            let entry = &mut self.entries[index];
            let calls = entry.follow(now, &mut self.store, &mut self.random);
            let calls = calls.max(entry.register(now, &mut self.store, &mut self.random));
            self.busiest = self.busiest.max(calls);
            self.gossip(index);
            assert!(self.entries[index].version >= before, "a version decreased");
        }
    }

    fn gossip(&mut self, index: usize) {
        if self.now < self.entries[index].gossip_due {
            return;
        }
        self.entries[index].gossip_due = self.now + GOSSIP_INTERVAL;
        let version = self.entries[index].version;
        let peer = self.random.usize(..ENTRY_COUNT);
        let newer = version.max(self.entries[peer].version);
        self.entries[peer].apply(newer);
        self.entries[index].apply(newer);
    }

    /// Runs without disturbances until a time.
    pub fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.step();
        }
    }

    /// Returns the number of entries that the store does not list.
    pub fn unregistered(&self) -> usize {
        ENTRY_COUNT - self.store.registered()
    }

    /// Returns the number of entries at which the newest configuration is not in
    /// force.
    pub fn outdated(&self) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.version < self.acknowledged)
            .count()
    }

    /// Returns the largest number of calls that one entry made in one second.
    pub fn max_calls_per_second(&self) -> usize {
        self.busiest
    }
}
