//! The operators' server, its client and the `operate` command, before a
//! stand-in of the store.
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
use app::operator::print::Printed;
use async_channel::Receiver;
use async_channel::Sender;
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

const SERVICE: &str = "192.0.2.1:5000";
const TIMEOUT: Duration = Duration::from_mins(1);

/// An entry that notes what it was told to spread.
struct Entry(Sender<Update>);

impl operator::Snapshot for Entry {
    async fn accept(&self, update: Update) {
        // Tests that do not look at updates drop the receiver.
        let _ = self.0.send(update).await;
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

/// An operator at work.
struct Operator {
    entry: SocketAddr,
    executor: Arc<Executor<'static>>,
    platform: Platform,
    accepted: Receiver<Update>,
    store: Http,
}

impl Operator {
    async fn run(&self, line: &str) -> Printed {
        let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        command::run(&[self.entry], TIMEOUT, &args, self.executor.clone())
            .await
            .expect("the entry answers")
    }

    async fn expect(&self, line: &str, end: End, text: &str) {
        let printed = self.run(line).await;
        assert_eq!(printed.end, end, "{line}: {}", printed.text);
        assert!(printed.text.contains(text), "{line}: {}", printed.text);
    }
}

/// An entry that says when a change is accepted, and never answers.
struct Silent(Sender<Update>);

impl operator::Snapshot for Silent {
    async fn accept(&self, update: Update) {
        let _ = self.0.send(update).await;
        future::pending::<()>().await;
    }

    async fn status(&self) -> schema::StatusReply {
        schema::StatusReply::default()
    }
}

/// Passes one connection on to an entry until a change is accepted there.
async fn cut_when_accepted(
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
        let http = Http::new(Settings {
            timeout: TIMEOUT,
            ..Settings::new(store.local_addr().expect("an address"))
        });
        let context = operator::Context {
            store: http.clone(),
            snapshot: Entry(sender),
        };
        let operator = Operator {
            entry: entry.local_addr().expect("an address"),
            executor: executor.clone(),
            platform: platform.clone(),
            accepted,
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
fn a_wrong_request_gets_every_problem_and_writes_nothing() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --hunt 9 --default-deadline-ms 90000");
        let printed = operator.run(&create).await;
        assert_eq!(printed.end, End::Invalid);
        assert_eq!(printed.text.lines().count(), 3, "{}", printed.text);
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
fn a_dry_run_shows_the_difference_and_writes_nothing() {
    with_operator(|operator| async move {
        let create = format!("create {SERVICE} --name roster --dry-run");
        operator
            .expect(&create, End::Done, "name:  -> \"roster\"")
            .await;
        assert_eq!(operator.platform.calls().writes, 0);
    });
}

#[test]
fn the_loser_of_a_race_sees_the_winner_and_the_winner_itself() {
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

fn refuses(mode: Mode) {
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

cases::cases! { refuses;
    a_change_is_refused_while_the_store_is_down: Mode::Down,
    a_change_is_refused_while_the_store_fails: Mode::Fail,
}

#[test]
fn an_accepted_change_is_spread_at_once_and_a_refused_one_never() {
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

#[test]
fn a_change_whose_entry_fell_silent_is_recognised_by_the_next() {
    with_operator(|operator| async move {
        let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let path = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entries = [path.local_addr().expect("an address"), operator.entry];
        let (sender, accepted) = async_channel::unbounded();
        let cut = cut_when_accepted(path, silent.local_addr().expect("an address"), accepted);
        let context = operator::Context {
            store: operator.store.clone(),
            snapshot: Silent(sender),
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
        let told = run(&entries).await.expect("a text");
        assert_eq!(told.end, End::Done, "{}", told.text);
        assert!(told.text.contains("revision 2 "), "{}", told.text);
        assert_eq!(operator.platform.calls().writes, 1);
    });
}

#[test]
fn a_command_goes_on_to_the_next_entry() {
    with_operator(|operator| async move {
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entries = [gone.local_addr().expect("an address"), operator.entry];
        drop(gone);
        let args = ["list".to_owned()];
        let printed = command::run(&entries, TIMEOUT, &args, operator.executor.clone()).await;
        assert_eq!(printed.expect("an answer").end, End::Done);
        let none = command::run(&entries[..1], TIMEOUT, &args, operator.executor.clone()).await;
        assert_eq!(none.expect("a text").end, End::Unavailable);
    });
}
