//! Reads the configuration from the store: once as a whole, then as it changes.
//!
//! One long poll waits for the marks of the buckets (see [`crate::key`]). A
//! mark that is newer than what was listed of its bucket makes the bucket due.
//! Marks and lists are states, not events: one that was missed, repeated,
//! late or older than the last changes nothing but the time.
use std::collections::HashMap;
use std::time::Duration;

use fastrand::Rng;
use limit::Backoff;
use limit::backoff;
use wire::Revision;
use wire::ServiceAddress;

use crate::Fault;
use crate::Listing;
use crate::Record;
use crate::Service;
use crate::jitter::jitter;
use crate::key;
use crate::key::BUCKETS;
use crate::key::Bucket;
use crate::lease::CallId;

/// Lists that do not reach their bucket's mark, after which the marks are
/// watched again before the next list.
const MAX_FRUITLESS: u8 = 3;

/// Settings of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest wait of one long poll. Bounds the delay of a missed event.
    pub wait: Duration,
    /// Longest time before the first read, jittered.
    pub spread: Duration,
    /// Time between reads of everything; jittered.
    pub relist: Duration,
    /// Pauses after calls that failed or brought nothing.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(4),
            spread: Duration::from_millis(500),
            relist: Duration::from_mins(30),
            backoff: backoff::Settings {
                base: Duration::from_millis(200),
                max: Duration::from_secs(5),
            },
        }
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// List all keys under a prefix.
    List {
        /// Comes back with the answer.
        id: CallId,
        /// The prefix.
        prefix: String,
    },
    /// Wait for a change under a prefix, then list all keys under it.
    Watch {
        /// Comes back with the answer.
        id: CallId,
        /// The prefix.
        prefix: String,
        /// Index to wait beyond.
        since: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Take over a configuration and spread it.
    Publish(Update),
}

/// A configuration and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The configuration.
    pub service: Service,
    /// Its revision.
    pub revision: Revision,
}

/// Counts of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Configurations published.
    pub published: u64,
    /// Reads of everything.
    pub relists: u64,
    /// Reads of one bucket.
    pub lists: u64,
    /// Long polls.
    pub watches: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Records that could not be read.
    pub malformed: u64,
    /// Records that were older than what is known.
    pub stale: u64,
    /// Indexes that went backwards.
    pub gaps: u64,
}

/// Reads the configuration while it is running.
#[derive(Clone, Debug)]
pub struct Feed {
    settings: Settings,
    random: Rng,
    backoff: Backoff,
    step: Step,
    /// When the step is due; `None` while it is under way or nothing runs.
    due: Option<Duration>,
    relist: Duration,
    call: CallId,
    index: Revision,
    marks: [Revision; BUCKETS as usize],
    listed: [Revision; BUCKETS as usize],
    fruitless: u8,
    known: HashMap<ServiceAddress, Revision>,
    counts: Counts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Nothing runs.
    Off,
    /// Read the marks, and then everything.
    Marks,
    /// Read everything.
    All,
    /// Read one bucket.
    Bucket(Bucket),
    /// Wait for a mark; began at the time given.
    Watch(Duration),
}

impl Feed {
    /// Makes a feed that is not running.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            backoff: Backoff::new(settings.backoff, seed),
            settings,
            random: Rng::with_seed(seed),
            step: Step::Off,
            due: None,
            relist: Duration::ZERO,
            call: 0,
            index: 0,
            marks: [0; BUCKETS as usize],
            listed: [0; BUCKETS as usize],
            fruitless: 0,
            known: HashMap::new(),
            counts: Counts::default(),
        }
    }

    /// Whether it is running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.step != Step::Off
    }

    /// Begins with a read of everything.
    pub fn start(&mut self, now: Duration) {
        let spread = jitter(self.random.u64(..), self.settings.spread);
        self.begin(now + spread);
    }

    /// Stops; the answer to a call under way will be ignored.
    pub fn stop(&mut self) {
        self.step = Step::Off;
        self.due = None;
        self.call += 1;
    }

    /// Counts so far.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub const fn next_deadline(&self) -> Option<Duration> {
        self.due
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        self.call += 1;
        let id = self.call;
        let prefix = match self.step {
            Step::Off => return Vec::new(),
            Step::Marks => key::MARKS.to_owned(),
            Step::All => {
                self.counts.relists += 1;
                key::SERVICES.to_owned()
            }
            Step::Bucket(bucket) => {
                self.counts.lists += 1;
                key::services(bucket)
            }
            Step::Watch(_) => {
                self.counts.watches += 1;
                self.step = Step::Watch(now);
                return vec![Action::Watch {
                    id,
                    prefix: key::MARKS.to_owned(),
                    since: self.index,
                    wait: self.settings.wait,
                }];
            }
        };
        vec![Action::List { id, prefix }]
    }

    /// Takes the answer to call `id`.
    pub fn on_answer(
        &mut self,
        now: Duration,
        id: CallId,
        answer: Result<Listing, Fault>,
    ) -> Vec<Action> {
        if id != self.call || self.due.is_some() {
            return Vec::new();
        }
        let mut actions = match answer {
            Ok(listing) => self.on_listing(now, &listing),
            Err(fault) => {
                self.on_fault(now, fault);
                Vec::new()
            }
        };
        actions.extend(self.tick(now));
        actions
    }

    fn on_fault(&mut self, now: Duration, fault: Fault) {
        self.counts.failures += 1;
        let lost = matches!(fault, Fault::Rejected { .. } | Fault::Malformed);
        if lost && matches!(self.step, Step::Watch(_)) {
            // The store no longer knows the index.
            self.step = Step::Marks;
        }
        self.due = Some(now + self.backoff.next_pause());
    }

    fn on_listing(&mut self, now: Duration, listing: &Listing) -> Vec<Action> {
        match self.step {
            Step::Off => Vec::new(),
            Step::Marks => {
                self.index = listing.index.max(1);
                self.mark(listing);
                self.step = Step::All;
                self.due = Some(now);
                Vec::new()
            }
            Step::All | Step::Bucket(_) => {
                let before = self.listed;
                let actions = self.publish(listing);
                let fruitful = self.step == Step::All || self.listed != before;
                self.advance(now, fruitful);
                actions
            }
            Step::Watch(_) if listing.index < self.index => {
                self.counts.gaps += 1;
                let pause = self.backoff.next_pause();
                self.begin(now + pause);
                Vec::new()
            }
            Step::Watch(sent) => {
                let changed = self.mark(listing);
                self.index = listing.index;
                // An event that changed nothing was repeated by the store.
                let fruitful = changed || now.saturating_sub(sent) >= self.settings.wait / 2;
                self.advance(now, fruitful);
                Vec::new()
            }
        }
    }

    /// Chooses the next step; waits before it where the last brought nothing.
    fn advance(&mut self, now: Duration, fruitful: bool) {
        if fruitful {
            self.backoff.reset();
            self.fruitless = 0;
        } else {
            self.fruitless = self.fruitless.saturating_add(1);
        }
        let pause = if fruitful {
            Duration::ZERO
        } else {
            self.backoff.next_pause()
        };
        self.step = match (self.step, self.behind()) {
            (Step::Bucket(_), Some(_)) if self.fruitless >= MAX_FRUITLESS => Step::Watch(now),
            (_, Some(bucket)) => Step::Bucket(bucket),
            (_, None) if now >= self.relist => return self.begin(now + pause),
            (_, None) => Step::Watch(now),
        };
        self.due = Some(now + pause);
    }

    /// The next bucket whose mark is newer than what was listed of it.
    fn behind(&self) -> Option<Bucket> {
        let last = match self.step {
            Step::Bucket(bucket) => bucket,
            _ => 0,
        };
        let next = (last + 1..BUCKETS).chain(0..=last);
        next.into_iter().find(|bucket| {
            let bucket = usize::from(*bucket);
            self.listed[bucket] < self.marks[bucket]
        })
    }

    fn begin(&mut self, due: Duration) {
        let half = self.settings.relist / 2;
        self.relist = due + half + jitter(self.random.u64(..), half);
        self.step = Step::Marks;
        self.due = Some(due);
    }

    /// Takes over marks; true where one is newer.
    fn mark(&mut self, listing: &Listing) -> bool {
        let mut changed = false;
        for item in &listing.items {
            let Some(bucket) = key::parse_mark(&item.key) else {
                continue;
            };
            let mark = &mut self.marks[usize::from(bucket)];
            changed |= item.revision > *mark;
            *mark = item.revision.max(*mark);
        }
        changed
    }

    fn publish(&mut self, listing: &Listing) -> Vec<Action> {
        let mut actions = Vec::new();
        for item in &listing.items {
            let Ok(record) = Record::from_json(&item.value) else {
                self.counts.malformed += 1;
                continue;
            };
            let address = record.service.address;
            let listed = &mut self.listed[usize::from(key::bucket(address))];
            *listed = item.revision.max(*listed);
            let known = self.known.entry(address).or_default();
            self.counts.stale += u64::from(item.revision < *known);
            if item.revision <= *known {
                continue;
            }
            *known = item.revision;
            self.counts.published += 1;
            actions.push(Action::Publish(Update {
                service: record.service,
                revision: item.revision,
            }));
        }
        actions
    }
}
