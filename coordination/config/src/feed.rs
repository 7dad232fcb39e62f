//! Reads the configuration of all services once, then follows its changes.
//!
//! One long poll watches the change markers of all buckets (see
//! [`crate::key`]). If a bucket's marker is newer than the newest service
//! listed in it, the bucket is listed again. Both markers and lists carry state
//! rather than events: if an answer is missing, repeated, late or stale, the
//! feed reads the change later but never loses or reverts it.
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

/// Number of successive steps without newer data after which the feed watches
/// the markers instead of listing an outdated bucket once more. A bucket whose
/// marker is newer than all its services would otherwise be listed without end.
const MAX_STALLED_STEPS: u8 = 3;

/// State machine that reads the configuration while it is running.
#[derive(Clone, Debug)]
pub struct Feed {
    settings: Settings,
    random: Rng,
    backoff: Backoff,
    step: Step,
    /// Time at which the step is due; `None` while its call is in flight and
    /// while the feed is stopped.
    due: Option<Duration>,
    /// Time of the next full list.
    relist_due: Duration,
    call_id: CallId,
    /// Index of the last answer about the markers; the next watch waits for a
    /// later one.
    watch_index: Revision,
    buckets: Buckets,
    /// Successive steps that returned nothing newer.
    stalled_steps: u8,
    /// Newest published revision of each service.
    newest: HashMap<ServiceAddress, Revision>,
    counts: Counts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The feed is not running.
    Stopped,
    /// List the change markers; a list of all services follows.
    ListMarkers,
    /// List all services.
    ListAll,
    /// List the services of one bucket.
    ListBucket(Bucket),
    /// Watch the change markers; holds the time at which the call was sent.
    Watch(Duration),
}

impl Feed {
    /// Creates a stopped feed; `seed` determines its jitter.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            backoff: Backoff::new(settings.backoff, seed),
            settings,
            random: Rng::with_seed(seed),
            step: Step::Stopped,
            due: None,
            relist_due: Duration::ZERO,
            call_id: 0,
            watch_index: 0,
            buckets: Buckets::new(),
            stalled_steps: 0,
            newest: HashMap::new(),
            counts: Counts::default(),
        }
    }

    /// Returns `true` if the feed is running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.step != Step::Stopped
    }

    /// Starts the feed with a full list after a random delay.
    pub fn start(&mut self, now: Duration) {
        let delay = jitter(self.random.u64(..), self.settings.start_jitter);
        self.schedule_relist(now + delay);
    }

    /// Stops the feed; the answer to a call in flight will be ignored.
    pub fn stop(&mut self) {
        self.step = Step::Stopped;
        self.due = None;
        self.call_id += 1;
    }

    /// Returns the counts since the feed was created.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the time at which [`Self::tick`] is due.
    #[must_use]
    pub const fn next_deadline(&self) -> Option<Duration> {
        self.due
    }

    /// Returns the call that is due, if any.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        self.call_id += 1;
        let id = self.call_id;
        let prefix = match self.step {
            Step::Stopped => return Vec::new(),
            Step::ListMarkers => key::MARKER_PREFIX.to_owned(),
            Step::ListAll => {
                self.counts.relists += 1;
                key::SERVICE_PREFIX.to_owned()
            }
            Step::ListBucket(bucket) => {
                self.counts.lists += 1;
                key::bucket_prefix(bucket)
            }
            Step::Watch(_) => {
                self.counts.watches += 1;
                self.step = Step::Watch(now);
                return vec![Action::Watch {
                    id,
                    prefix: key::MARKER_PREFIX.to_owned(),
                    since: self.watch_index,
                    wait: self.settings.wait,
                }];
            }
        };
        vec![Action::List { id, prefix }]
    }

    /// Handles the answer to call `id`; answers to earlier calls are ignored.
    pub fn on_answer(
        &mut self,
        now: Duration,
        id: CallId,
        answer: Result<Listing, Fault>,
    ) -> Vec<Action> {
        if id != self.call_id || self.due.is_some() {
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
        let index_rejected = matches!(fault, Fault::Rejected { .. } | Fault::Malformed);
        if index_rejected && matches!(self.step, Step::Watch(_)) {
            // The store may no longer accept the index.
            self.step = Step::ListMarkers;
        }
        self.due = Some(now + self.backoff.next_pause());
    }

    fn on_listing(&mut self, now: Duration, listing: &Listing) -> Vec<Action> {
        match self.step {
            Step::Stopped => Vec::new(),
            Step::ListMarkers => {
                self.watch_index = listing.index.max(1);
                self.buckets.record_markers(listing);
                self.step = Step::ListAll;
                self.due = Some(now);
                Vec::new()
            }
            Step::ListAll | Step::ListBucket(_) => {
                let newer = self.record_listed(listing);
                self.schedule_next(now, newer || self.step == Step::ListAll);
                self.publish(listing)
            }
            Step::Watch(_) if listing.index < self.watch_index => {
                self.counts.index_resets += 1;
                let pause = self.backoff.next_pause();
                self.schedule_relist(now + pause);
                Vec::new()
            }
            Step::Watch(sent) => {
                let changed = self.buckets.record_markers(listing);
                self.watch_index = listing.index;
                // A watch that returns early without a newer marker repeats an
                // event; a backoff keeps the feed from polling in a tight loop.
                let has_progress = changed || now.saturating_sub(sent) >= self.settings.wait / 2;
                self.schedule_next(now, has_progress);
                Vec::new()
            }
        }
    }

    /// Schedules the next step, after a backoff if the last one returned nothing
    /// newer.
    fn schedule_next(&mut self, now: Duration, has_progress: bool) {
        if has_progress {
            self.backoff.reset();
            self.stalled_steps = 0;
        } else {
            self.stalled_steps = self.stalled_steps.saturating_add(1);
        }
        let pause = if has_progress {
            Duration::ZERO
        } else {
            self.backoff.next_pause()
        };
        let last = match self.step {
            Step::ListBucket(bucket) => bucket,
            _ => 0,
        };
        self.step = match (self.step, self.buckets.next_outdated(last)) {
            (Step::ListBucket(_), Some(_)) if self.stalled_steps >= MAX_STALLED_STEPS => {
                Step::Watch(now)
            }
            (_, Some(bucket)) => Step::ListBucket(bucket),
            (_, None) if now >= self.relist_due => return self.schedule_relist(now + pause),
            (_, None) => Step::Watch(now),
        };
        self.due = Some(now + pause);
    }

    /// Schedules a full list at `due`, and the one after it at a random time.
    fn schedule_relist(&mut self, due: Duration) {
        let min_interval = self.settings.relist_interval / 2;
        self.relist_due = due + min_interval + jitter(self.random.u64(..), min_interval);
        self.step = Step::ListMarkers;
        self.due = Some(due);
    }

    /// Records the revisions of the listed services; returns `true` if one is
    /// newer than all listed before in its bucket.
    fn record_listed(&mut self, listing: &Listing) -> bool {
        let mut newer = false;
        for item in &listing.items {
            if let Some(bucket) = key::service_bucket(&item.key) {
                newer |= self.buckets.record_listed(bucket, item.revision);
            }
        }
        newer
    }

    /// Returns an update for each listed service that is newer than the last one
    /// published; counts and skips malformed records.
    fn publish(&mut self, listing: &Listing) -> Vec<Action> {
        let mut actions = Vec::new();
        for item in &listing.items {
            let Ok(record) = Record::from_item(item) else {
                self.counts.malformed += 1;
                continue;
            };
            let address = record.service.address;
            let newest = self.newest.entry(address).or_default();
            self.counts.stale += u64::from(item.revision < *newest);
            if item.revision <= *newest {
                continue;
            }
            *newest = item.revision;
            self.counts.published += 1;
            actions.push(Action::Publish(Update {
                service: record.service,
                revision: item.revision,
            }));
        }
        actions
    }
}
