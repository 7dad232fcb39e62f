//! Tests of the feed against a store whose answers fail, repeat and are stale.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::Fault;
use config::Feed;
use config::KeyValue;
use config::Listing;
use config::Record;
use config::Service;
use config::Update;
use config::feed::Action;
use config::feed::Settings;
use config::key;
use config::lease::CallId;
use proptest::prelude::*;
use wire::Revision;

const SECOND: Duration = Duration::from_secs(1);
const SERVICES: u16 = 4;

/// Successive states of a store, oldest first.
struct Store(Vec<HashMap<String, KeyValue>>);

/// A call of the feed in flight.
#[derive(Clone, Debug)]
struct Call {
    id: CallId,
    prefix: String,
    since: Option<Revision>,
}

/// Answer to a call.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// The latest state.
    Latest,
    /// The state before this number of writes.
    Stale(usize),
    /// A fault.
    Fault(Fault),
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 5000 + number))
}

impl Store {
    fn new() -> Self {
        Self(vec![HashMap::new()])
    }

    /// Returns the revision of the next write; an empty store is at 1.
    fn next_revision(&self) -> Revision {
        self.0.len() as Revision + 1
    }

    /// Writes a service and the change marker of its bucket.
    fn write(&mut self, number: u16) {
        let mut state = self.latest().clone();
        let revision = self.next_revision();
        let service = Service {
            name: format!("revision-{revision}"),
            operation: format!("operation-{revision}"),
            ..Service::new(address(number))
        };
        let bucket = key::bucket(address(number));
        let value = Record::create(service).to_json().expect("a record");
        for (key, value) in [
            (key::service(address(number)), value),
            (key::change_marker(bucket), Vec::new()),
        ] {
            let item = KeyValue {
                key: key.clone(),
                value,
                revision,
            };
            state.insert(key, item);
        }
        self.0.push(state);
    }

    fn latest(&self) -> &HashMap<String, KeyValue> {
        self.0.last().expect("a state")
    }

    fn answer(&self, call: &Call, reply: Reply) -> Result<Listing, Fault> {
        let back = match reply {
            Reply::Latest => 0,
            Reply::Stale(back) => back,
            Reply::Fault(fault) => return Err(fault),
        };
        let position = self.0.len().saturating_sub(1 + back);
        let items: Vec<KeyValue> = self.0[position]
            .values()
            .filter(|item| item.key.starts_with(&call.prefix))
            .cloned()
            .collect();
        let index = items.iter().map(|item| item.revision).max();
        Ok(Listing {
            index: index.unwrap_or(1),
            items,
        })
    }
}

/// A feed and its store.
struct Fixture {
    store: Store,
    feed: Feed,
    now: Duration,
    call: Option<Call>,
    in_force: HashMap<SocketAddr, Revision>,
}

impl Fixture {
    fn new() -> Self {
        let mut feed = Feed::new(Settings::default(), 1);
        feed.start(SECOND);
        Self {
            store: Store::new(),
            feed,
            now: SECOND,
            call: None,
            in_force: HashMap::new(),
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let call = match action {
                Action::Publish(update) => {
                    self.publish(&update);
                    continue;
                }
                Action::List { id, prefix } => Call {
                    id,
                    prefix,
                    since: None,
                },
                Action::Watch {
                    id, prefix, since, ..
                } => Call {
                    id,
                    prefix,
                    since: Some(since),
                },
            };
            assert!(self.call.is_none(), "one call at a time");
            self.call = Some(call);
        }
    }

    /// Puts an update in force, which must be newer than the one before.
    fn publish(&mut self, update: &Update) {
        let before = self
            .in_force
            .insert(update.service.address, update.revision);
        assert!(before.is_none_or(|before| before < update.revision));
        assert_eq!(update.service.name, format!("revision-{}", update.revision));
    }

    /// Advances the time to the next deadline and runs what is due.
    fn advance(&mut self) {
        if let Some(due) = self.feed.next_deadline() {
            self.now = self.now.max(due);
        }
        let actions = self.feed.tick(self.now);
        self.apply(actions);
    }

    /// Answers the call in flight.
    fn reply(&mut self, reply: Reply) {
        self.advance();
        let Some(call) = self.call.take() else {
            return;
        };
        let answer = self.store.answer(&call, reply);
        let actions = self.feed.on_answer(self.now, call.id, answer);
        self.apply(actions);
    }

    /// Answers calls with the latest state until the feed has caught up.
    fn run_until_caught_up(&mut self) {
        for _ in 0..100 {
            self.advance();
            if self.is_caught_up() {
                return;
            }
            self.reply(Reply::Latest);
        }
        panic!(
            "the feed has not caught up after 100 calls; call in flight: {:?}",
            self.call
        );
    }

    /// Returns `true` if the feed watches for a change after the latest one.
    fn is_caught_up(&self) -> bool {
        let since = self.call.as_ref().and_then(|call| call.since);
        since.is_some_and(|since| since + 1 >= self.store.next_revision())
    }

    /// Asserts that the latest revision of every service is in force.
    fn assert_latest(&self) {
        for number in 0..SERVICES {
            let stored = self.store.latest().get(&key::service(address(number)));
            let in_force = self.in_force.get(&address(number)).copied();
            assert_eq!(in_force, stored.map(|item| item.revision), "{number}");
        }
    }

    /// Returns the time until the next deadline.
    fn pause(&self) -> Duration {
        let due = self.feed.next_deadline().expect("a deadline");
        due.saturating_sub(self.now)
    }

    /// Returns the prefix of the call in flight.
    fn prefix(&self) -> &str {
        self.call.as_ref().map_or("", |call| call.prefix.as_str())
    }
}

#[test]
fn all_services_are_listed_once_and_then_only_changed_buckets() {
    let mut fixture = Fixture::new();
    (0..SERVICES).for_each(|number| fixture.store.write(number));
    fixture.run_until_caught_up();
    fixture.assert_latest();
    assert_eq!(fixture.feed.counts().published, u64::from(SERVICES));
    fixture.store.write(2);
    fixture.reply(Reply::Latest);
    assert_eq!(
        fixture.prefix(),
        key::bucket_prefix(key::bucket(address(2)))
    );
    fixture.run_until_caught_up();
    fixture.assert_latest();
    let counts = fixture.feed.counts();
    assert_eq!((counts.relists, counts.lists), (1, 1));
}

/// An index lower than the one watched from means that changes may have been
/// missed, so everything is listed again, after a pause.
#[test]
fn an_index_that_goes_backwards_is_counted_and_leads_to_a_full_list() {
    let mut fixture = Fixture::new();
    (0..SERVICES).for_each(|number| fixture.store.write(number));
    fixture.run_until_caught_up();
    fixture.store.write(0);
    fixture.reply(Reply::Stale(2));
    assert_eq!(fixture.feed.counts().index_resets, 1);
    let pause = fixture.pause();
    assert!(!pause.is_zero());
    fixture.advance();
    assert_eq!(fixture.prefix(), key::MARKER_PREFIX);
    fixture.run_until_caught_up();
    fixture.assert_latest();
    assert_eq!(fixture.feed.counts().relists, 2);
}

#[test]
fn a_change_that_ended_no_watch_is_read_when_the_wait_ends() {
    let mut fixture = Fixture::new();
    fixture.run_until_caught_up();
    fixture.store.write(1);
    fixture.now += Settings::default().wait;
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

/// A store that repeats an event ends each watch at once; without a pause the feed
/// would poll it in a tight loop.
#[test]
fn repeated_events_are_followed_by_growing_pauses() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.run_until_caught_up();
    let mut pause = Duration::ZERO;
    for _ in 0..8 {
        fixture.reply(Reply::Latest);
        pause = fixture.pause();
    }
    assert!(pause >= SECOND, "{pause:?}");
    fixture.assert_latest();
}

#[test]
fn a_bucket_is_listed_again_after_a_stale_list() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.store.write(1);
    fixture.reply(Reply::Latest);
    fixture.reply(Reply::Stale(1));
    assert_eq!(fixture.in_force[&address(1)], 2);
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

/// After several stale lists of an outdated bucket the feed watches the markers
/// again and lists the bucket only when that watch ends.
#[test]
fn a_change_is_read_after_many_stale_lists_of_its_bucket() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.store.write(1);
    fixture.reply(Reply::Latest);
    for _ in 0..20 {
        fixture.reply(Reply::Stale(1));
    }
    fixture.run_until_caught_up();
    fixture.now += Settings::default().wait;
    fixture.reply(Reply::Latest);
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

/// A bucket that stays outdated must not keep the others from being listed.
#[test]
fn a_bucket_with_a_missing_service_does_not_block_other_buckets() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    let state = fixture.store.0.last_mut().expect("a state");
    state.remove(&key::service(address(1)));
    fixture.run_until_caught_up();
    for number in [0, 2, 3] {
        fixture.store.write(number);
    }
    for _ in 0..6 {
        fixture.reply(Reply::Latest);
    }
    for number in [0, 2, 3] {
        assert!(fixture.in_force.contains_key(&address(number)), "{number}");
    }
}

/// A marker newer than every listed service keeps its bucket outdated; the feed
/// must not list that bucket without end.
#[test]
fn a_marker_without_its_service_does_not_keep_the_feed_from_watching() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    let state = fixture.store.0.last_mut().expect("a state");
    state.remove(&key::service(address(1)));
    fixture.run_until_caught_up();
    assert!(fixture.feed.counts().lists <= 5);
}

/// Without a newer marker no watch reports the write, so the next full list has
/// to find it.
#[test]
fn a_service_written_without_its_marker_is_read_by_the_next_full_list() {
    let mut fixture = Fixture::new();
    fixture.run_until_caught_up();
    fixture.store.write(1);
    let marker = key::change_marker(key::bucket(address(1)));
    let state = fixture.store.0.last_mut().expect("a state");
    state.remove(&marker);
    fixture.now += Settings::default().relist_interval;
    for _ in 0..3 {
        fixture.reply(Reply::Latest);
    }
    fixture.assert_latest();
}

/// A record that cannot be used must not replace the one in force, and the next
/// valid record must be read.
fn is_skipped(corrupt: fn(&mut KeyValue)) {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.store.write(1);
    let state = fixture.store.0.last_mut().expect("a state");
    corrupt(state.get_mut(&key::service(address(1))).expect("an item"));
    fixture.run_until_caught_up();
    assert_eq!(fixture.in_force[&address(1)], 2);
    assert_eq!(fixture.feed.counts().malformed, 1);
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

fn replace(item: &mut KeyValue, from: &str, to: &str) {
    let text = String::from_utf8(item.value.clone()).expect("text");
    assert!(text.contains(from), "{text}");
    item.value = text.replace(from, to).into_bytes();
}

cases::cases! { is_skipped;
    a_record_that_cannot_be_decoded_is_skipped: |item| item.value.truncate(9),
    a_record_that_fails_validation_is_skipped:
        |item| replace(item, "\"hunt\":3", "\"hunt\":200"),
    a_record_under_the_key_of_another_service_is_skipped:
        |item| replace(item, "192.0.2.1:5001", "192.0.2.1:5002"),
}

#[test]
fn calls_back_off_during_an_outage() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.run_until_caught_up();
    let start = fixture.now;
    for _ in 0..100 {
        fixture.reply(Reply::Fault(Fault::Unreachable));
    }
    assert!(fixture.now > start + 200 * SECOND, "{:?}", fixture.now);
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.assert_latest();
    assert_eq!(fixture.feed.counts().relists, 1);
}

/// The answer to a call of the earlier run arrives after the restart.
#[test]
fn an_answer_from_before_a_stop_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.advance();
    let call = fixture.call.take().expect("a call");
    fixture.feed.stop();
    fixture.feed.start(fixture.now);
    fixture.advance();
    let answer = fixture.store.answer(&call, Reply::Latest);
    assert_eq!(fixture.feed.on_answer(fixture.now, call.id, answer), []);
    assert_eq!(fixture.feed.next_deadline(), None);
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

fn reply() -> impl Strategy<Value = Reply> {
    let lost = Fault::Lost {
        maybe_applied: false,
    };
    prop_oneof![
        4 => Just(Reply::Latest),
        3 => (1..6_usize).prop_map(Reply::Stale),
        1 => Just(Reply::Fault(lost)),
        1 => Just(Reply::Fault(Fault::Malformed)),
        1 => Just(Reply::Fault(Fault::Rejected { status: 400 })),
    ]
}

#[derive(Clone, Debug)]
enum Step {
    Write(u16),
    Reply(Reply),
    Restart,
    PassTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SERVICES).prop_map(Step::Write),
        6 => reply().prop_map(Step::Reply),
        1 => Just(Step::Restart),
        1 => (0..2000_u64).prop_map(Step::PassTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Writes, stale answers, faults, restarts and waiting times come in random
    /// order. `Fixture::publish` asserts that no older revision is published.
    #[test]
    fn no_service_reverts_and_the_latest_revisions_come_into_force(
        steps in prop::collection::vec(step(), 0..80),
    ) {
        let mut fixture = Fixture::new();
        for step in steps {
            match step {
                Step::Write(number) => fixture.store.write(number),
                Step::Reply(reply) => fixture.reply(reply),
                Step::PassTime(seconds) => fixture.now += Duration::from_secs(seconds),
                Step::Restart => {
                    fixture.feed.stop();
                    fixture.call = None;
                    fixture.feed.start(fixture.now);
                }
            }
        }
        fixture.run_until_caught_up();
        // After several stale lists, the next follows only when the watch ends.
        fixture.now += Settings::default().wait;
        fixture.reply(Reply::Latest);
        fixture.run_until_caught_up();
        fixture.assert_latest();
    }
}
