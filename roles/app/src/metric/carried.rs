//! The metrics of gateways and sidecars.
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use ::http::StatusCode;
use net::http;
use net::http::Answer;
use opentelemetry::metrics::Histogram;
use smol::Executor;
use store::Counts as Calls;

use super::Board;
use super::Error;

/// Path under which the metrics are served.
const PATH: &str = "/metrics";

/// Counts what a process did, by metric and reason.
#[derive(Debug, Default)]
pub struct Counts(Mutex<BTreeMap<Key, u64>>);

/// A metric of the table and a reason, which is empty where it has none.
type Key = (&'static str, &'static str);

impl Counts {
    /// Counts one more.
    pub fn add(&self, name: &'static str, reason: &'static str) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((name, reason)).or_default() += 1;
    }

    /// Copies the counts to a board.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where one is not in the table of metrics.
    pub fn publish(&self, board: &mut Board) -> Result<(), Error> {
        let counts = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for ((name, reason), count) in counts {
            board.set(name, reason, count)?;
        }
        Ok(())
    }
}

/// Copies the calls of the store to a board.
///
/// # Errors
///
/// [`Error::Unknown`] where the metric is not in the table.
pub fn publish_calls(board: &mut Board, calls: &Calls) -> Result<(), Error> {
    board.set("store.calls", "read", calls.reads)?;
    board.set("store.calls", "write", calls.writes)?;
    board.set("store.calls", "watch", calls.watches)?;
    board.set("store.calls", "lease", calls.leases)?;
    board.set("store.calls", "failed", calls.failures)
}

/// Records a time in a histogram.
pub fn record(histogram: &Histogram<u64>, time: Duration) {
    histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX), &[]);
}

/// Serves the metrics as text.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    read: impl Fn(&mut Board) -> Result<(), Error> + Send + Sync + 'static,
    board: Board,
) -> io::Result<()> {
    let shared = Arc::new((Mutex::new(board), read));
    let answer = move |question: http::Question| {
        let shared = Arc::clone(&shared);
        async move {
            if question.path != PATH {
                return plain(StatusCode::NOT_FOUND, "see /metrics\n".to_owned());
            }
            let (board, read) = &*shared;
            let mut board = board.lock().unwrap_or_else(PoisonError::into_inner);
            match read(&mut board).and_then(|()| board.read()) {
                Ok(samples) => plain(StatusCode::OK, super::text(&samples)),
                Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            }
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}

fn plain(status: StatusCode, body: String) -> Answer {
    Answer {
        status,
        content_type: "text/plain; version=0.0.4",
        body,
    }
}
