//! The operators' server, its client and the `operate` command, with a stand-in
//! for the store.
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::operator as schema;
use app::operator;
use app::operator::command;
use app::operator::print::End;
use app::operator::print::Output;
use async_channel::Receiver;
use async_channel::Sender;
use config::Evacuations;
use config::Update;
use futures_lite::FutureExt;
use futures_lite::future;
use smol::Executor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use standin::platform;
use standin::platform::Platform;
use standin::platform::fault::Mode;
use store::Http;
use store::http::Settings;
use wire::Revision;

const SERVICE: &str = "192.0.2.1:5000";
const TIMEOUT: Duration = Duration::from_mins(1);

/// Entry that passes the updates and the evacuated zones that it should spread to
/// channels.
struct Entry(Sender<Update>, Sender<Evacuations>);

impl operator::Snapshot for Entry {
    async fn accept(&self, update: Update) {
        // Tests that ignore the updates drop the receiver.
        let _ = self.0.send(update).await;
    }

    async fn evacuate(&self, evacuations: Evacuations, _: Revision) {
        let _ = self.1.send(evacuations).await;
    }

    async fn status(&self) -> schema::StatusReply {
        schema::StatusReply {
            counters: vec![schema::Counter {
                name: "refused.overloaded".to_owned(),
                value: 7,
            }],
            ..schema::StatusReply::default()
        }
    }
}

/// Operator with a running entry and store.
struct Operator {
    entry: SocketAddr,
    executor: Arc<Executor<'static>>,
    platform: Platform,
    accepted: Receiver<Update>,
    evacuated: Receiver<Evacuations>,
    store: Http,
}

impl Operator {
    async fn run(&self, line: &str) -> Output {
        let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        command::run(&[self.entry], TIMEOUT, &args, self.executor.clone())
            .await
            .expect("the entry answers")
    }

    async fn expect(&self, line: &str, end: End, text: &str) {
        let output = self.run(line).await;
        assert_eq!(output.end, end, "{line}: {}", output.text);
        assert!(output.text.contains(text), "{line}: {}", output.text);
    }
}

/// Entry that reports an accepted change to a channel and then never replies to
/// the operator.
struct Unresponsive(Sender<Update>);

impl operator::Snapshot for Unresponsive {
    async fn accept(&self, update: Update) {
        let _ = self.0.send(update).await;
        future::pending::<()>().await;
    }

    async fn status(&self) -> schema::StatusReply {
        schema::StatusReply::default()
    }
}

/// Relays one connection to an entry and closes it when the entry has accepted a
/// change.
async fn relay_until_accepted(
    listener: TcpListener,
    entry: SocketAddr,
    accepted: Receiver<Update>,
) -> io::Result<()> {
    let (client, _) = listener.accept().await?;
    let server = TcpStream::connect(entry).await?;
    let there = futures_lite::io::copy(client.clone(), server.clone());
    let back = futures_lite::io::copy(server.clone(), client.clone());
    let cut = async { accepted.recv().await.map(|_| 0).map_err(io::Error::other) };
    there.or(back).or(cut).await?;
    client.shutdown(Shutdown::Both)
}

fn with_operator<F: Future<Output = ()>>(test: impl FnOnce(Operator) -> F) {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(async {
        let store = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let platform = Platform::default();
        let (sender, accepted) = async_channel::unbounded();
        let (zones, evacuated) = async_channel::unbounded();
        let http = Http::new(Settings {
            timeout: TIMEOUT,
            ..Settings::new(store.local_addr().expect("an address"))
        });
        let context = operator::Context {
            store: http.clone(),
            snapshot: Entry(sender, zones),
        };
        let operator = Operator {
            entry: entry.local_addr().expect("an address"),
            executor: executor.clone(),
            platform: platform.clone(),
            accepted,
            evacuated,
            store: http,
        };
        let store = platform::serve(store, platform, executor.clone());
        let entry = operator::serve(entry, context, executor.clone());
        let serve = async { panic!("a listener ended: {:?}", store.or(entry).await) };
        test(operator).or(serve).await;
    }));
}

#[test]
fn a_service_is_created_changed_drained_and_deleted() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --name roster --operation op-1");
        operator
            .expect(&create, End::Done, "accepted as revision 2")
            .await;
        let update = format!("update {SERVICE} --hunt 2 --binding independent");
        operator.expect(&update, End::Done, "hunt: 3 -> 2").await;
        let drain = format!("drain {SERVICE} zone:4");
        operator
            .expect(&drain, End::Done, "accepted as revision 4")
            .await;
        let get = format!("get {SERVICE}");
        operator
            .expect(&get, End::Done, "independent revision 4")
            .await;
        operator.expect(&get, End::Done, "drained [zone:4]").await;
        let undrain = format!("undrain {SERVICE} zone:4");
        operator
            .expect(&undrain, End::Done, "accepted as revision 5")
            .await;
        operator.expect(&get, End::Done, "drained []").await;
        let delete = format!("delete {SERVICE}");
        operator
            .expect(&delete, End::Done, "accepted as revision 6")
            .await;
        assert_eq!(operator.run("list").await.text, "");
        operator
            .expect("list --deleted", End::Done, "roster deleted")
            .await;
    });
}

#[test]
fn an_invalid_request_reports_all_problems_and_writes_nothing() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --hunt 9 --default-deadline-ms 90000");
        let output = operator.run(&create).await;
        assert_eq!(output.end, End::Invalid);
        assert_eq!(output.text.lines().count(), 3, "{}", output.text);
        operator
            .expect("get nowhere", End::Invalid, "address cannot be read")
            .await;
        let drain = format!("drain {SERVICE} zone:4");
        operator
            .expect(&drain, End::Invalid, "create it first")
            .await;
        assert_eq!(operator.platform.calls().writes, 0);
    });
}

#[test]
fn a_dry_run_shows_the_differences_and_writes_nothing() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --name roster --dry-run");
        operator
            .expect(&create, End::Done, "name:  -> \"roster\"")
            .await;
        assert_eq!(operator.platform.calls().writes, 0);
    });
}

/// Two changes are based on the same revision, and the store's answer to the
/// first one is lost. The first has to be recognised as applied, also by a later
/// retry, and the second has to report the first as its conflict.
#[test]
fn of_two_concurrent_changes_one_is_applied_and_one_reports_the_conflict() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --name roster");
        operator.expect(&create, End::Done, "revision 2").await;
        operator
            .platform
            .set_faults(|faults| faults.lose_answers = 1);
        let one = format!("update {SERVICE} --hunt 1 --expected 2 --operation one");
        let two = format!("update {SERVICE} --hunt 2 --expected 2 --operation two");
        operator.expect(&one, End::Done, "revision 3 ").await;
        operator
            .expect(&two, End::Conflict, "revision 3 of operation one")
            .await;
        let over = format!("update {SERVICE} --hunt 2 --operation three");
        operator.expect(&over, End::Done, "revision 4 ").await;
        let retry = format!("{one} --retry");
        let text = "revision 3 (operation one), replaced since by revision 4";
        operator.expect(&retry, End::Done, text).await;
    });
}

fn is_refused_until_the_store_recovers(mode: Mode) {
    with_operator(|operator| async move {
        operator.platform.set_faults(|faults| faults.mode = mode);
        let create = format!("create {SERVICE} --name roster --operation one");
        operator
            .expect(&create, End::Unavailable, "try again after 1")
            .await;
        let retry = format!("{create} --expected 0 --retry");
        let text = "--operation one --expected 0 --retry";
        operator.expect(&retry, End::Unknown, text).await;
        operator
            .expect("list", End::Unavailable, "not applied")
            .await;
        operator
            .expect("status", End::Done, "refused.overloaded 7")
            .await;
        operator
            .platform
            .set_faults(|faults| faults.mode = Mode::Up);
        operator.expect(&retry, End::Done, "revision 2").await;
    });
}

cases::cases! { is_refused_until_the_store_recovers;
    store_closes_connections: Mode::Down,
    store_answers_with_errors: Mode::Fail,
}

#[test]
fn the_entry_spreads_accepted_changes_at_once_and_no_others() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --name roster");
        operator.expect(&create, End::Done, "revision 2").await;
        let update = operator.accepted.recv().await.expect("an update");
        assert_eq!((update.revision, update.service.hunt), (2, 3));
        let late = format!("update {SERVICE} --hunt 1 --expected 1");
        operator.expect(&late, End::Conflict, "revision 2").await;
        let dry = format!("update {SERVICE} --hunt 1 --dry-run");
        operator.expect(&dry, End::Done, "nothing written").await;
        assert!(operator.accepted.is_empty());
    });
}

/// The connection to an entry breaks after the change was written and before the
/// reply. The outcome is unknown then; the same command, sent through another
/// entry, has to recognise the change as applied and must not write it twice.
#[test]
fn a_change_without_a_reply_is_recognised_as_applied_by_the_next_entry() {
    with_operator(|operator| async move {
        let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let path = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entries = [path.local_addr().expect("an address"), operator.entry];
        let (sender, accepted) = async_channel::unbounded();
        let cut = relay_until_accepted(path, silent.local_addr().expect("an address"), accepted);
        let context = operator::Context {
            store: operator.store.clone(),
            snapshot: Unresponsive(sender),
        };
        let serve = operator::serve(silent, context, operator.executor.clone());
        operator.executor.spawn(serve).detach();
        let args = ["create", SERVICE, "--name", "roster", "--operation", "one"];
        let args = args.map(str::to_owned);
        let run = |entries| command::run(entries, TIMEOUT, &args, operator.executor.clone());
        let (unknown, cut) = future::zip(run(&entries[..1]), cut).await;
        cut.expect("a connection that can be cut");
        let unknown = unknown.expect("a text");
        assert_eq!(unknown.end, End::Unknown, "{}", unknown.text);
        let text = "--operation one --expected 0 --retry";
        assert!(unknown.text.contains(text), "{}", unknown.text);
        let repeated = run(&entries).await.expect("a text");
        assert_eq!(repeated.end, End::Done, "{}", repeated.text);
        assert!(repeated.text.contains("revision 2 "), "{}", repeated.text);
        assert_eq!(operator.platform.calls().writes, 1);
    });
}

#[test]
fn a_command_is_sent_to_the_next_entry_if_one_does_not_answer() {
    with_operator(|operator| async move {
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entries = [gone.local_addr().expect("an address"), operator.entry];
        drop(gone);
        let args = ["list".to_owned()];
        let output = command::run(&entries, TIMEOUT, &args, operator.executor.clone()).await;
        assert_eq!(output.expect("an answer").end, End::Done);
        let none = command::run(&entries[..1], TIMEOUT, &args, operator.executor.clone()).await;
        assert_eq!(none.expect("a text").end, End::Unavailable);
    });
}

#[test]
fn a_zone_is_evacuated_and_restored() {
    with_operator(|operator| async move {
        operator.expect("zones", End::Done, "").await;
        let text = "zone 4 evacuated as of revision ";
        operator.expect("evacuate 4", End::Done, text).await;
        operator.expect("evacuate 0", End::Done, "zone 0").await;
        operator
            .expect("restore 0", End::Done, "zone 0 restored")
            .await;
        let zones = operator.run("zones").await.text;
        assert!(
            zones.starts_with(text) && zones.lines().count() == 1,
            "{zones}"
        );
        // Repeating a request changes nothing, so that its revision stays.
        let writes = operator.platform.calls().writes;
        assert_eq!(operator.run("evacuate 4").await.text, zones);
        assert_eq!(operator.platform.calls().writes, writes);
        let mut last = None;
        while let Ok(evacuations) = operator.evacuated.try_recv() {
            last = Some(evacuations);
        }
        let last: Vec<u16> = last
            .expect("the entry spreads it")
            .zones
            .into_keys()
            .collect();
        assert_eq!(last, [4]);
        let args = ["evacuate".to_owned(), "north".to_owned()];
        let usage = command::run(&[], TIMEOUT, &args, operator.executor);
        assert!(usage.await.is_err());
    });
}

/// The operator must not take a request for refused that the store may have applied.
#[test]
fn a_request_for_a_zone_whose_answer_is_lost_may_have_been_applied() {
    with_operator(|operator| async move {
        operator
            .platform
            .set_faults(|faults| faults.lose_answers = 1);
        let text = "may have been applied";
        operator.expect("evacuate 4", End::Unknown, text).await;
        operator.expect("evacuate 4", End::Done, "zone 4").await;
        operator.expect("zones", End::Done, "zone 4").await;
    });
}
