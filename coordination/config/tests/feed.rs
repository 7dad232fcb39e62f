//! Reading through a store whose answers fail, repeat and go backwards.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::Fault;
use config::Feed;
use config::Item;
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

/// The states of a store, oldest first.
struct Store(Vec<HashMap<String, Item>>);

/// A call of the feed under way.
#[derive(Clone, Debug)]
struct Call {
    id: CallId,
    prefix: String,
    since: Option<Revision>,
}

/// How a call is answered.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// With the latest state.
    Latest,
    /// With the state some writes ago.
    Stale(usize),
    /// With a fault.
    Fault(Fault),
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 5000 + number))
}

impl Store {
    fn new() -> Self {
        Self(vec![HashMap::new()])
    }

    /// The revision of the next write; an empty store is at 1.
    fn next_revision(&self) -> Revision {
        self.0.len() as Revision + 1
    }

    /// Writes a service and the mark of its bucket.
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
            let item = Item {
                key: key.clone(),
                value,
                revision,
            };
            state.insert(key, item);
        }
        self.0.push(state);
    }

    fn latest(&self) -> &HashMap<String, Item> {
        self.0.last().expect("a state")
    }

    fn answer(&self, call: &Call, reply: Reply) -> Result<Listing, Fault> {
        let back = match reply {
            Reply::Latest => 0,
            Reply::Stale(back) => back,
            Reply::Fault(fault) => return Err(fault),
        };
        let position = self.0.len().saturating_sub(1 + back);
        let items: Vec<Item> = self.0[position]
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

/// A feed with its store.
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

    /// Takes over an update, which must be newer than what is in force.
    fn publish(&mut self, update: &Update) {
        let before = self
            .in_force
            .insert(update.service.address, update.revision);
        assert!(before.is_none_or(|before| before < update.revision));
        assert_eq!(update.service.name, format!("revision-{}", update.revision));
    }

    /// Goes on to the next deadline.
    fn advance(&mut self) {
        if let Some(due) = self.feed.next_deadline() {
            self.now = self.now.max(due);
        }
        let actions = self.feed.tick(self.now);
        self.apply(actions);
    }

    /// Answers the call under way.
    fn reply(&mut self, reply: Reply) {
        self.advance();
        let Some(call) = self.call.take() else {
            return;
        };
        let answer = self.store.answer(&call, reply);
        let actions = self.feed.on_answer(self.now, call.id, answer);
        self.apply(actions);
    }

    /// Answers calls truly until the feed waits for a change that has not come.
    fn run_until_caught_up(&mut self) {
        for _ in 0..100 {
            self.advance();
            if self.is_caught_up() {
                return;
            }
            self.reply(Reply::Latest);
        }
        panic!("the feed does not come to rest: {:?}", self.call);
    }

    /// Whether the feed waits for a change that has not come.
    fn is_caught_up(&self) -> bool {
        let since = self.call.as_ref().and_then(|call| call.since);
        since.is_some_and(|since| since + 1 >= self.store.next_revision())
    }

    fn assert_latest(&self) {
        for number in 0..SERVICES {
            let stored = self.store.latest().get(&key::service(address(number)));
            let in_force = self.in_force.get(&address(number)).copied();
            assert_eq!(in_force, stored.map(|item| item.revision), "{number}");
        }
    }

    /// Time until the next deadline.
    fn pause(&self) -> Duration {
        let due = self.feed.next_deadline().expect("a deadline");
        due.saturating_sub(self.now)
    }

    fn prefix(&self) -> &str {
        self.call.as_ref().map_or("", |call| call.prefix.as_str())
    }
}

#[test]
fn everything_is_read_once_and_then_only_what_changed() {
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

#[test]
fn an_index_that_goes_backwards_is_a_gap_and_everything_is_read_again() {
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
fn a_missed_event_is_made_up_for_when_the_wait_ends() {
    let mut fixture = Fixture::new();
    fixture.run_until_caught_up();
    fixture.store.write(1);
    fixture.now += Settings::default().wait;
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

#[test]
fn a_repeated_event_is_not_followed_by_a_call_at_once() {
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
fn a_stale_list_of_a_bucket_is_read_again() {
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

#[test]
fn many_stale_lists_of_a_bucket_hide_nothing() {
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

#[test]
fn a_bucket_that_cannot_be_read_does_not_hide_another() {
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

#[test]
fn a_mark_without_its_service_does_not_keep_the_feed_from_watching() {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    let state = fixture.store.0.last_mut().expect("a state");
    state.remove(&key::service(address(1)));
    fixture.run_until_caught_up();
    assert!(fixture.feed.counts().lists <= 5);
}

#[test]
fn a_service_written_without_its_mark_is_read_in_the_end() {
    let mut fixture = Fixture::new();
    fixture.run_until_caught_up();
    fixture.store.write(1);
    let mark = key::change_marker(key::bucket(address(1)));
    let state = fixture.store.0.last_mut().expect("a state");
    state.remove(&mark);
    fixture.now += Settings::default().relist_interval;
    for _ in 0..3 {
        fixture.reply(Reply::Latest);
    }
    fixture.assert_latest();
}

fn is_skipped(spoil: fn(&mut Item)) {
    let mut fixture = Fixture::new();
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.store.write(1);
    let state = fixture.store.0.last_mut().expect("a state");
    spoil(state.get_mut(&key::service(address(1))).expect("an item"));
    fixture.run_until_caught_up();
    assert_eq!(fixture.in_force[&address(1)], 2);
    assert_eq!(fixture.feed.counts().malformed, 1);
    fixture.store.write(1);
    fixture.run_until_caught_up();
    fixture.assert_latest();
}

fn replace(item: &mut Item, from: &str, to: &str) {
    let text = String::from_utf8(item.value.clone()).expect("text");
    assert!(text.contains(from), "{text}");
    item.value = text.replace(from, to).into_bytes();
}

cases::cases! { is_skipped;
    a_record_that_cannot_be_read_is_left_out: |item| item.value.truncate(9),
    a_record_with_a_problem_is_left_out:
        |item| replace(item, "\"hunt\":3", "\"hunt\":200"),
    a_record_under_the_key_of_another_service_is_left_out:
        |item| replace(item, "192.0.2.1:5001", "192.0.2.1:5002"),
}

#[test]
fn an_outage_is_met_with_growing_pauses() {
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

    #[test]
    fn nothing_reverts_and_the_latest_comes_into_force(
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
        // After many stale lists, the next is made when the wait ends.
        fixture.now += Settings::default().wait;
        fixture.reply(Reply::Latest);
        fixture.run_until_caught_up();
        fixture.assert_latest();
    }
}
