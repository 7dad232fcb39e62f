//! Reads the configuration from the store: once as a whole, then as it changes.
//!
//! One long poll waits for the marks of the buckets (see [`crate::key`]). A
//! mark that is newer than what was listed of its bucket makes the bucket due.
//! Marks and lists are states, not events: one that was missed, repeated,
//! late or older than the last changes nothing but the time.
mod action;
mod bucket;
mod settings;

use std::collections::HashMap;
use std::time::Duration;

use fastrand::Rng;
use limit::Backoff;
use wire::Revision;
use wire::ServiceAddress;

use crate::Fault;
use crate::Listing;
use crate::Record;
use crate::jitter::jitter;
use crate::key;
use crate::key::Bucket;
use crate::lease::CallId;

use bucket::Buckets;

pub use action::Action;
pub use action::Counts;
pub use action::Update;
pub use settings::Settings;

/// Lists that do not reach their bucket's mark, after which the marks are
/// watched again before the next list.
const MAX_FRUITLESS: u8 = 3;

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
    buckets: Buckets,
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
            buckets: Buckets::new(),
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
                self.buckets.mark(listing);
                self.step = Step::All;
                self.due = Some(now);
                Vec::new()
            }
            Step::All | Step::Bucket(_) => {
                let newer = self.list(listing);
                self.advance(now, newer || self.step == Step::All);
                self.publish(listing)
            }
            Step::Watch(_) if listing.index < self.index => {
                self.counts.gaps += 1;
                let pause = self.backoff.next_pause();
                self.begin(now + pause);
                Vec::new()
            }
            Step::Watch(sent) => {
                let changed = self.buckets.mark(listing);
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
        let last = match self.step {
            Step::Bucket(bucket) => bucket,
            _ => 0,
        };
        self.step = match (self.step, self.buckets.behind(last)) {
            (Step::Bucket(_), Some(_)) if self.fruitless >= MAX_FRUITLESS => Step::Watch(now),
            (_, Some(bucket)) => Step::Bucket(bucket),
            (_, None) if now >= self.relist => return self.begin(now + pause),
            (_, None) => Step::Watch(now),
        };
        self.due = Some(now + pause);
    }

    fn begin(&mut self, due: Duration) {
        let half = self.settings.relist / 2;
        self.relist = due + half + jitter(self.random.u64(..), half);
        self.step = Step::Marks;
        self.due = Some(due);
    }

    /// Notes how new the listed buckets are; true where one is newer.
    fn list(&mut self, listing: &Listing) -> bool {
        let mut newer = false;
        for item in &listing.items {
            if let Some(bucket) = key::parse_service(&item.key) {
                newer |= self.buckets.list(bucket, item.revision);
            }
        }
        newer
    }

    fn publish(&mut self, listing: &Listing) -> Vec<Action> {
        let mut actions = Vec::new();
        for item in &listing.items {
            let Ok(record) = Record::from_item(item) else {
                self.counts.malformed += 1;
                continue;
            };
            let address = record.service.address;
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
