//! Carries the connections of one host to the store, and harms them.
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

/// Bytes that are relayed at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time between two looks at what happens to a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What happens to the connections of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Requests do not arrive.
    pub drops_requests: bool,
    /// Answers do not arrive.
    pub drops_answers: bool,
    /// Connections are reset, new ones too.
    pub resets: bool,
    /// Time that each piece takes longer.
    pub delay: Duration,
    /// Rises where the connections that are open fall silent for good.
    pub silence_epoch: u32,
}

/// Reads what happens to the connections of a host now.
pub type Faults = Rc<dyn Fn() -> Fault>;

/// Serves an address until dropped.
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
                // Either end has left, which the other sees.
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

/// Copies one direction; what is dropped on the way is gone, as are the ends.
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
                // The end does not arrive either; the other direction goes on.
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
