//! Answers requests.
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::answer;
use super::answer::OperationRequest;
use super::answer::SessionRequest;
use super::call::Calls;
use super::fault::Faults;
use super::fault::Mode;
use super::fault::take;
use super::state::Operation;
use super::state::State;
use super::state::under;

/// Longest wait of a watch that asks for none.
const DEFAULT_WAIT: Duration = Duration::from_mins(5);

type Answer = Response<Full<Bytes>>;

/// The stand-in's state, shared by its connections.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    origin: Instant,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            origin: Instant::now(),
        }
    }
}

/// Counts a waiting watch until dropped, also where its client leaves.
struct Waiting<'a>(&'a Platform);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().calls.waiting -= 1;
    }
}

/// The parameters of a request.
struct Query(String);

impl Query {
    fn get(&self, name: &str) -> Option<&str> {
        self.pairs().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        let parts = self.0.split('&').filter(|part| !part.is_empty());
        parts.map(|part| part.split_once('=').unwrap_or((part, "")))
    }
}

impl Platform {
    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Ends all sessions.
    pub fn lapse(&self) {
        let mut state = self.lock();
        for id in state.sessions.ids() {
            state.end_session(&id);
        }
    }

    /// Calls received so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Answers one request; an error drops the connection.
    pub(super) async fn answer(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = Query(request.uri().query().unwrap_or_default().to_owned());
        let body = request.into_body().collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        if let Some(answer) = self.control(&method, &path, &query) {
            return Ok(answer);
        }
        let faults = self.lock().faults;
        Timer::after(faults.slow).await;
        if faults.mode != Mode::Up {
            self.lock().calls.refused += 1;
        }
        match faults.mode {
            Mode::Up => {}
            Mode::Down => return Err(io::ErrorKind::ConnectionAborted.into()),
            Mode::Fail => return Ok(answer::status(StatusCode::INTERNAL_SERVER_ERROR)),
            Mode::Hang => return future::pending().await,
        }
        self.lock().expire(self.origin.elapsed());
        if method == Method::GET {
            return Ok(self.read(&path, &query).await);
        }
        let answer = self.write(&path, &query, &body);
        if take(&mut self.lock().faults.lose_answers) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(answer)
    }

    fn control(&self, method: &Method, path: &str, query: &Query) -> Option<Answer> {
        let status = match (method, path) {
            (&Method::GET, "/calls") => {
                return Some(answer::json(StatusCode::OK, 1, &self.calls()));
            }
            (&Method::PUT, "/lapse") => {
                self.lapse();
                StatusCode::OK
            }
            (&Method::PUT, "/fault") => {
                let mut state = self.lock();
                let mut faults = state.faults;
                match query
                    .pairs()
                    .try_for_each(|(name, value)| faults.set(name, value))
                {
                    Ok(()) => {
                        state.faults = faults;
                        StatusCode::OK
                    }
                    Err(()) => StatusCode::BAD_REQUEST,
                }
            }
            _ => return None,
        };
        Some(answer::status(status))
    }

    async fn read(&self, path: &str, query: &Query) -> Answer {
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return answer::status(StatusCode::NOT_FOUND);
        };
        match query.get("index").and_then(|index| index.parse().ok()) {
            None | Some(0) => self.lock().calls.reads += 1,
            Some(index) => {
                self.lock().calls.watches += 1;
                let wait = query.get("wait").and_then(duration);
                self.wait(key, index, wait.unwrap_or(DEFAULT_WAIT)).await;
            }
        }
        self.pairs(key, query.get("recurse").is_some())
    }

    fn pairs(&self, key: &str, recurse: bool) -> Answer {
        let mut state = self.lock();
        let index = state.prefix_index(key);
        let cells = state.readable();
        let pairs: Vec<Value> = match recurse {
            true => under(cells, key)
                .map(|(key, cell)| answer::pair(key, cell))
                .collect(),
            false => cells
                .get(key)
                .map(|cell| answer::pair(key, cell))
                .into_iter()
                .collect(),
        };
        match pairs.is_empty() {
            true => answer::json(StatusCode::NOT_FOUND, index, &pairs),
            false => answer::json(StatusCode::OK, index, &pairs),
        }
    }

    /// Waits until something under `prefix` is newer than `index`.
    async fn wait(&self, prefix: &str, index: u64, wait: Duration) {
        let _waiting = self.begin_wait();
        let changed = async {
            loop {
                let next = {
                    let mut state = self.lock();
                    if take(&mut state.faults.repeat_events) || state.prefix_index(prefix) > index {
                        return;
                    }
                    state.next_write()
                };
                // Closed by the next write.
                let _ = next.recv().await;
            }
        };
        let expire = async {
            Timer::after(wait).await;
        };
        changed.or(expire).await;
    }

    fn begin_wait(&self) -> Waiting<'_> {
        self.lock().calls.waiting += 1;
        Waiting(self)
    }

    fn write(&self, path: &str, query: &Query, body: &[u8]) -> Answer {
        let mut state = self.lock();
        let now = self.origin.elapsed();
        match path.split('/').collect::<Vec<_>>().as_slice() {
            ["", "v1", "txn"] => {
                state.calls.writes += 1;
                transact(&mut state, body)
            }
            ["", "v1", "session", "create"] => {
                state.calls.leases += 1;
                let request = serde_json::from_slice::<SessionRequest>(body).ok();
                match request.and_then(|request| duration(&request.ttl)) {
                    Some(ttl) => {
                        let id = state.sessions.create(ttl, now);
                        answer::json(StatusCode::OK, 1, &json!({ "ID": id }))
                    }
                    None => answer::status(StatusCode::BAD_REQUEST),
                }
            }
            ["", "v1", "session", "renew", id] => {
                state.calls.leases += 1;
                match state.sessions.renew(id, now) {
                    true => answer::json(StatusCode::OK, 1, &json!([{ "ID": id }])),
                    false => answer::status(StatusCode::NOT_FOUND),
                }
            }
            ["", "v1", "session", "destroy", id] => {
                state.calls.leases += 1;
                state.end_session(id);
                answer::json(StatusCode::OK, 1, &true)
            }
            ["", "v1", "kv", ..] => {
                state.calls.leases += 1;
                let key = path.trim_start_matches("/v1/kv/");
                let session = query.get("acquire").unwrap_or_default();
                match state.acquire(key, session, body.to_vec()) {
                    Some(held) => answer::json(StatusCode::OK, 1, &held),
                    None => answer::status(StatusCode::INTERNAL_SERVER_ERROR),
                }
            }
            _ => answer::status(StatusCode::NOT_FOUND),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn transact(state: &mut State, body: &[u8]) -> Answer {
    let requests: Vec<OperationRequest> = match serde_json::from_slice(body) {
        Ok(requests) => requests,
        Err(_) => return answer::status(StatusCode::BAD_REQUEST),
    };
    let operations: Option<Vec<Operation>> =
        requests.into_iter().map(OperationRequest::read).collect();
    let Some(operations) = operations else {
        return answer::status(StatusCode::BAD_REQUEST);
    };
    match state.transact(&operations) {
        Err(refused) => {
            let error = json!({ "OpIndex": refused, "What": "the condition does not hold" });
            let body = json!({ "Results": null, "Errors": [error] });
            answer::json(StatusCode::CONFLICT, 1, &body)
        }
        Ok(keys) => {
            let results: Vec<Value> = keys
                .iter()
                .filter_map(|key| Some((key, state.cells.get(key)?)))
                .map(|(key, cell)| json!({ "KV": answer::pair(key, cell) }))
                .collect();
            answer::json(
                StatusCode::OK,
                1,
                &json!({ "Results": results, "Errors": null }),
            )
        }
    }
}

/// Reads a time such as `1500ms` or `10s`.
fn duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    let seconds = text.strip_suffix('s')?;
    seconds.parse().ok().map(Duration::from_secs)
}
