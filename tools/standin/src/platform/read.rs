//! Reads and watches.
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::StatusCode;
use serde_json::Value;

use super::answer;
use super::fault::consume;
use super::query::Query;
use super::query::parse_duration;
use super::route::Answer;
use super::route::Platform;
use super::state::with_prefix;

/// Timeout of a watch that names none.
const DEFAULT_WAIT: Duration = Duration::from_mins(5);

/// Counts a watch as waiting until dropped, also when its client disconnects.
struct WatchGuard<'a>(&'a Platform);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().calls.waiting -= 1;
    }
}

/// Answers a read of a key or prefix; a watch waits for a change first.
pub(super) async fn answer(platform: &Platform, path: &str, query: &Query) -> Answer {
    let Some(key) = path.strip_prefix("/v1/kv/") else {
        return answer::status(StatusCode::NOT_FOUND);
    };
    match query.get("index").and_then(|index| index.parse().ok()) {
        None | Some(0) => platform.lock().calls.reads += 1,
        Some(index) => {
            platform.lock().calls.watches += 1;
            let timeout = query.get("wait").and_then(parse_duration);
            wait(platform, key, index, timeout.unwrap_or(DEFAULT_WAIT)).await;
        }
    }
    pairs(platform, key, query.get("recurse").is_some())
}

/// Returns a key, or with `recurse` all keys under a prefix.
fn pairs(platform: &Platform, key: &str, recurse: bool) -> Answer {
    let mut state = platform.lock();
    let index = state.prefix_index(key);
    let pairs: Vec<Value> = with_prefix(&state.readable_pairs(), key)
        .filter(|(name, _)| recurse || *name == key)
        .map(|(name, pair)| answer::pair_json(name, pair))
        .collect();
    let status = if pairs.is_empty() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::OK
    };
    answer::json(status, index, &pairs)
}

/// Waits until something under `prefix` is newer than `index`, at most for
/// `timeout`.
async fn wait(platform: &Platform, prefix: &str, index: u64, timeout: Duration) {
    platform.lock().calls.waiting += 1;
    let _guard = WatchGuard(platform);
    let changed = async {
        loop {
            let next = {
                let mut state = platform.lock();
                if consume(&mut state.faults.repeat_events) || state.prefix_index(prefix) > index {
                    return;
                }
                state.next_write()
            };
            // The next write closes the channel.
            let _ = next.recv().await;
        }
    };
    let expire = async {
        Timer::after(timeout).await;
    };
    changed.or(expire).await;
}
