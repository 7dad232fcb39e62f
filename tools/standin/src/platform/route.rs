//! Dispatches requests and applies the faults in force.
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use super::answer;
use super::call::Calls;
use super::fault::Faults;
use super::fault::Mode;
use super::fault::consume;
use super::query::Query;
use super::read;
use super::state::State;
use super::write;

pub(super) type Answer = Response<Full<Bytes>>;

/// Shared handle to the state of the stand-in.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    /// Origin of the times of sessions.
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

impl Platform {
    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Ends all sessions.
    pub fn end_sessions(&self) {
        let mut state = self.lock();
        for id in state.sessions.ids() {
            state.end_session(&id);
        }
    }

    /// Returns the numbers of calls received so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// An error that makes the caller close the connection without an answer, if
    /// the body cannot be read or a fault asks for it.
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
            return Ok(read::answer(self, &path, &query).await);
        }
        let answer = write::answer(
            &mut self.lock(),
            self.origin.elapsed(),
            &path,
            &query,
            &body,
        );
        if consume(&mut self.lock().faults.lose_answers) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(answer)
    }

    /// Answers a request that sets faults, ends sessions or reads the numbers of
    /// calls; returns `None` for others.
    fn control(&self, method: &Method, path: &str, query: &Query) -> Option<Answer> {
        let status = match (method, path) {
            (&Method::GET, "/calls") => {
                return Some(answer::json(StatusCode::OK, 1, &self.calls()));
            }
            (&Method::PUT, "/lapse") => {
                self.end_sessions();
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
                    Err(_) => StatusCode::BAD_REQUEST,
                }
            }
            _ => return None,
        };
        Some(answer::status(status))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
