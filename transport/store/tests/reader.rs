//! Tests of the reader against the stand-in of the store.
mod standin_store;

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use config::Reader;
use config::Record;
use config::Service;
use config::Update;
use config::key;
use config::reader::Event;
use config::reader::Settings;
use futures_lite::FutureExt;
use standin::platform::fault::Mode;
use store::Http;
use store::Store;
use store::Swap;
use store::reader;
use wire::Revision;

use standin_store::with_store;

/// A running reader: its store client, updates and inputs.
struct Fixture {
    http: Http,
    updates: Receiver<Update>,
    inputs: Sender<Event>,
}

impl Fixture {
    /// Writes a service, as an operator's change does.
    async fn write(&self, name: &str, expected: Revision) -> Revision {
        let address = "192.0.2.1:5000".parse().expect("an address");
        let service = Service {
            name: name.to_owned(),
            operation: name.to_owned(),
            ..Service::new(address)
        };
        let value = Record::create(service).to_json().expect("a record");
        let swap = Swap {
            key: key::service(address),
            value,
            expected,
            touch: Some(key::change_marker(key::bucket(address))),
            fence: None,
        };
        self.http.swap(swap).await.expect("a match")
    }

    /// Waits for the next update and checks its service name and revision.
    async fn expect_update(&self, name: &str, revision: Revision) {
        let update = self.updates.recv().await.expect("an update");
        assert_eq!(
            (update.service.name.as_str(), update.revision),
            (name, revision)
        );
    }
}

fn with_reader<F: Future<Output = ()>>(
    test: impl FnOnce(Fixture, standin::platform::Platform) -> F,
) {
    with_store(|http, platform| async move {
        let (sender, updates) = async_channel::unbounded();
        let (inputs, events) = async_channel::unbounded();
        let mut settings = Settings::new(1);
        settings.feed.start_jitter = Duration::ZERO;
        settings.feed.wait = Duration::from_millis(50);
        settings.lease.renew_interval = Duration::from_millis(50);
        settings.feed.backoff.base = Duration::from_millis(1);
        settings.lease.backoff.base = Duration::from_millis(1);
        let reader = Reader::new(settings, 0, 1);
        let run = reader::run(http.clone(), reader, events, sender);
        let fixture = Fixture {
            http,
            updates,
            inputs,
        };
        let run = async {
            run.await;
            futures_lite::future::pending::<()>().await;
        };
        test(fixture, platform).or(run).await;
    });
}

#[test]
fn a_change_ends_the_watch_and_is_read() {
    with_reader(|fixture, platform| async move {
        let first = fixture.write("one", 0).await;
        fixture.expect_update("one", first).await;
        let second = fixture.write("two", first).await;
        fixture.expect_update("two", second).await;
        assert!(platform.calls().watches >= 1);
    });
}

/// The store drops the event that would end the watch, so the change is found only
/// when the watch times out.
#[test]
fn a_change_that_ended_no_watch_is_read_later() {
    with_reader(|fixture, platform| async move {
        let first = fixture.write("one", 0).await;
        fixture.expect_update("one", first).await;
        platform.set_faults(|faults| faults.drop_events = 1);
        let second = fixture.write("two", first).await;
        fixture.expect_update("two", second).await;
    });
}

#[test]
fn stale_and_repeated_answers_revert_nothing() {
    with_reader(|fixture, platform| async move {
        let first = fixture.write("one", 0).await;
        fixture.expect_update("one", first).await;
        platform.set_faults(|faults| {
            faults.stale_reads = 5;
            faults.repeat_events = 3;
        });
        let second = fixture.write("two", first).await;
        fixture.expect_update("two", second).await;
        let third = fixture.write("three", second).await;
        fixture.expect_update("three", third).await;
    });
}

#[test]
fn reading_resumes_after_outages_and_expired_leases() {
    with_reader(|fixture, platform| async move {
        let mut revision = fixture.write("one", 0).await;
        fixture.expect_update("one", revision).await;
        for mode in [Mode::Down, Mode::Fail] {
            platform.set_faults(|faults| faults.mode = mode);
            let refused = platform.calls().refused;
            while platform.calls().refused < refused + 3 {
                futures_lite::future::yield_now().await;
            }
            platform.end_sessions();
            platform.set_faults(|faults| faults.mode = Mode::Up);
            revision = fixture.write("again", revision).await;
            fixture.expect_update("again", revision).await;
        }
    });
}

#[test]
fn a_reader_that_stops_releases_its_lock() {
    with_reader(|fixture, _| async move {
        let first = fixture.write("one", 0).await;
        fixture.expect_update("one", first).await;
        let prefix = key::reader_lock_prefix(1);
        let held = fixture.http.list(&prefix).await.expect("an answer");
        assert_eq!(held.items.len(), 1);
        fixture.inputs.send(Event::Stop).await.expect("a reader");
        // The reader drops the sender of updates when it has stopped.
        assert!(fixture.updates.recv().await.is_err());
        let held = fixture.http.list(&prefix).await.expect("an answer");
        assert_eq!(held.items, []);
    });
}
