//! TCP proxy between one host and the store, with injected faults.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Largest number of bytes that are relayed at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Interval at which connections are checked for a reset.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults of the connections of a host to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Whether requests are dropped.
    pub drops_requests: bool,
    /// Whether answers are dropped.
    pub drops_answers: bool,
    /// Whether connections are reset, including new ones.
    pub resets: bool,
    /// Extra delay of each piece of data.
    pub delay: Duration,
    /// Counter of silences: once it exceeds the value at a connection's start,
    /// the connection drops all data in both directions.
    pub silence_epoch: u32,
}

/// Source of the faults that act on the connections of a host now.
pub type Faults = Rc<dyn Fn() -> Fault>;

/// Accepts connections and relays each to the store, until dropped.
pub async fn run(
    listener: TcpListener,
    store: SocketAddr,
    faults: Faults,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        let faults = Rc::clone(&faults);
        executor
            .spawn(async move {
                let relayed = relay(stream, store, &faults).or(until_reset(&faults));
                // Either end has closed or the connection was reset; dropping
                // it closes both ends.
                let _ = relayed.await;
            })
            .detach();
    }
}

async fn relay(caller: TcpStream, store: SocketAddr, faults: &Faults) -> std::io::Result<()> {
    let store = TcpStream::connect(store).await?;
    let first = faults().silence_epoch;
    let requests = copy(caller.clone(), store.clone(), || {
        let fault = faults();
        (
            fault.drops_requests || fault.silence_epoch > first,
            fault.delay,
        )
    });
    let answers = copy(store.clone(), caller.clone(), || {
        let fault = faults();
        (
            fault.drops_answers || fault.silence_epoch > first,
            fault.delay,
        )
    });
    requests.or(answers).await
}

/// Copies one direction. Once data has been dropped, all further data and the
/// end of the stream are dropped as well.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: impl Fn() -> (bool, Duration),
) -> std::io::Result<()> {
    let mut is_dropping = false;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let (drops, delay) = faults();
        is_dropping |= drops;
        if is_dropping {
            if length == 0 {
                // The end of the stream is dropped too; the other direction
                // continues.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if length == 0 {
            return Ok(());
        }
        Timer::after(delay).await;
        to.write_all(&buffer[..length]).await?;
    }
}

async fn until_reset(faults: &Faults) -> std::io::Result<()> {
    while !faults().resets {
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}
