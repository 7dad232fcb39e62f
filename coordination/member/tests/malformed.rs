//! Guards against a process that ends because of one message: valid messages with a few
//! bytes changed, cut off or added are decoded and handled at any time.
mod net;

use std::cell::RefCell;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use member::Action;
use member::Announcer;
use member::Identity;
use member::Message;
use member::Registry;
use member::Settings;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;

use crate::net::agent;
use crate::net::entry;
use crate::net::region;
use crate::net::target;

/// Encoded messages of a small fleet that starts, loses a process and regains it.
static RECORDED: LazyLock<Vec<Bytes>> = LazyLock::new(record);

fn record() -> Vec<Bytes> {
    let recorded = RefCell::new(Vec::new());
    let mut net = region(4, 6, 2);
    let take = |actions: Vec<Action>| {
        for Action::Send { message, .. } in actions {
            recorded.borrow_mut().extend(message.encode());
        }
    };
    net.run(Duration::from_secs(3));
    for registry in net.entries.values_mut() {
        let mut actions = Vec::new();
        for second in 3..12 {
            registry.tick(Duration::from_secs(second), &mut actions);
        }
        registry.leave(Duration::from_secs(12), &mut actions);
        take(actions);
    }
    let mut announcer = new_announcer();
    let mut actions = Vec::new();
    announcer.tick(Duration::ZERO, &mut actions);
    announcer.leave(Duration::from_secs(1));
    announcer.tick(Duration::from_secs(2), &mut actions);
    take(actions);
    recorded.into_inner()
}

fn new_announcer() -> Announcer {
    let target = target(1, 0, 1);
    Announcer::new(
        Settings::default(),
        target,
        vec![entry(1)],
        1,
        Duration::ZERO,
    )
}

fn new_registry() -> Registry {
    let identity = Identity {
        address: entry(9),
        zone: 1,
        incarnation: 1,
    };
    Registry::new(Settings::default(), identity, 9, Duration::ZERO)
}

/// Message with some bytes replaced, then cut off or followed by others.
fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let edits = vec((any::<Index>(), any::<u8>()), 0..4);
    let end = prop_oneof![
        4 => Just(None),
        1 => any::<Index>().prop_map(Some),
    ];
    (any::<Index>(), edits, end, vec(any::<u8>(), 0..3)).prop_map(|(which, edits, end, tail)| {
        let mut bytes = which.get(&RECORDED).to_vec();
        for (at, byte) in edits {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Some(end) = end {
            bytes.truncate(end.index(bytes.len()));
        }
        bytes.extend(tail);
        bytes
    })
}

/// Times between two messages; the longest exceeds all timeouts.
fn pause() -> impl Strategy<Value = Duration> {
    prop_oneof![0..2_000_u64, Just(20_000_000)].prop_map(Duration::from_millis)
}

proptest! {
    #[test]
    fn no_message_stops_an_entry(messages in vec((mutated(), pause()), 1..30)) {
        let mut registry = new_registry();
        let mut now = Duration::ZERO;
        for (bytes, pause) in messages {
            let mut actions = Vec::new();
            if let Ok(message) = Message::decode(&bytes) {
                registry.handle(now, entry(1), message, &mut actions);
            }
            now += pause;
            registry.tick(now, &mut actions);
            registry.take_changes();
        }
    }

    #[test]
    fn no_message_stops_an_agent(messages in vec((mutated(), pause()), 1..30)) {
        let mut announcer = new_announcer();
        let mut now = Duration::ZERO;
        for (bytes, pause) in messages {
            let mut actions = Vec::new();
            if let Ok(message) = Message::decode(&bytes) {
                announcer.handle(now, agent(1), message, &mut actions);
            }
            now += pause;
            announcer.raise_incarnation(now);
            announcer.tick(now, &mut actions);
            announcer.take_changed();
        }
    }
}
