//! [`Store`] over Consul's HTTP API.
//!
//! Uses the public API of the key-value store, sessions and transactions: long
//! polls by `index` and `wait`, and compare-and-swap with a session check in one
//! transaction.
//!
//! Each call opens its own connection: a write sent on an idle connection that
//! the server has just closed may or may not have been applied.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use config::era;
use futures_lite::FutureExt;
use futures_lite::future;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use wire::Revision;

use crate::Counts;
use crate::Fault;
use crate::KeyValue;
use crate::LeaseId;
use crate::Listing;
use crate::Store;
use crate::Swap;
use crate::count::Counter;
use crate::count::Kind;
use crate::schema;

const JSON: &str = "application/json";
const INDEX_HEADER: &str = "x-consul-index";

/// Settings of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// TCP address of the store.
    pub address: SocketAddr,
    /// Maximum time to wait for an answer, in addition to a watch's own wait.
    pub timeout: Duration,
    /// Maximum size of an answer's body, in bytes.
    pub max_answer_bytes: usize,
}

impl Settings {
    /// Returns the default settings for the store at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: Duration::from_secs(2),
            max_answer_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Client of Consul's HTTP API. Clones share their counts.
#[derive(Clone, Debug)]
pub struct Http {
    settings: Settings,
    counter: Arc<Counter>,
}

/// Answer of the store, with any status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of a header that holds a number, or `None` if it is
    /// missing or malformed.
    #[must_use]
    pub fn number(&self, header: &str) -> Option<u64> {
        self.headers.get(header)?.to_str().ok()?.parse().ok()
    }
}

/// HTTP request to the store.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Kind under which the call is counted.
    pub kind: Kind,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Body; empty for none.
    pub body: Vec<u8>,
}

impl Http {
    /// Creates a client. Connections are opened by its calls.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            counter: Arc::default(),
        }
    }

    /// Returns a client with this timeout that shares its counts with `self`.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        let mut client = self.clone();
        client.settings.timeout = timeout;
        client
    }

    /// Returns the counts of the calls made by this client and its clones.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counter.snapshot()
    }

    /// Counts a restore of the store from an older copy.
    pub fn record_restore(&self) {
        self.counter.record_restore();
    }

    /// Makes one call and returns the answer, with any status. The timeout is
    /// extended by `wait`, for calls that the store answers only after that time.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if there is no complete answer.
    pub async fn request(&self, call: Call<'_>, wait: Duration) -> Result<Answer, Fault> {
        self.counter.record_call(call.kind);
        self.counter.record_sent(call.path.len() + call.body.len());
        let maybe_applied = call.method != Method::GET;
        let expire = async {
            Timer::after(self.settings.timeout + wait).await;
            Err(Fault::Lost { maybe_applied })
        };
        let exchange = self.exchange(call.method, call.path, call.body);
        let answer = exchange.or(expire).await;
        if answer.is_err() {
            self.counter.record_failure();
        }
        answer
    }

    /// Makes one call and turns error statuses into faults.
    async fn call(
        &self,
        kind: Kind,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Answer, Fault> {
        let maybe_applied = method != Method::GET;
        let call = Call {
            kind,
            method,
            path,
            body,
        };
        let answer = check_status(self.request(call, wait).await?, maybe_applied);
        if answer.is_err() {
            self.counter.record_failure();
        }
        answer
    }

    /// Sends one request on a new connection and receives the answer.
    async fn exchange(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, Fault> {
        let maybe_applied = method != Method::GET;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.settings.address.to_string())
            .header(CONNECTION, "close")
            .header(CONTENT_TYPE, JSON)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Fault::Malformed)?;
        let stream = TcpStream::connect(self.settings.address)
            .await
            .map_err(|_| Fault::Unreachable)?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| Fault::Unreachable)?;
        let limit = self.settings.max_answer_bytes;
        let receive = async {
            let lost = Fault::Lost { maybe_applied };
            let response = sender.send_request(request).await.map_err(|_| lost)?;
            let status = response.status();
            let headers = response.headers().clone();
            let body = Limited::new(response.into_body(), limit)
                .collect()
                .await
                .map_err(|_| lost)?
                .to_bytes();
            self.counter.record_received(body.len());
            Ok(Answer {
                status,
                headers,
                body,
            })
        };
        let drive = async {
            // The connection ends when the answer has been read, or with an error
            // that `receive` reports as well.
            let _ = connection.await;
            future::pending().await
        };
        receive.or(drive).await
    }

    /// Reads key-value pairs and the answer's index; a path without keys (status
    /// 404) returns no pairs.
    async fn read(
        &self,
        kind: Kind,
        path: &str,
        wait: Duration,
    ) -> Result<(Vec<schema::Pair>, Revision), Fault> {
        let answer = self.call(kind, Method::GET, path, Vec::new(), wait).await?;
        let pairs = match answer.status {
            StatusCode::NOT_FOUND => Vec::new(),
            _ => decode(&answer.body)?,
        };
        let index = answer.number(INDEX_HEADER).unwrap_or_default();
        Ok((pairs, Revision::from(index)))
    }

    /// Sends a body as JSON by `PUT`.
    async fn write(&self, kind: Kind, path: &str, body: &impl Serialize) -> Result<Answer, Fault> {
        let body = serde_json::to_vec(body).map_err(|_| Fault::Malformed)?;
        self.call(kind, Method::PUT, path, body, Duration::ZERO)
            .await
    }
}

impl Store for Http {
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, Fault> {
        let path = format!("/v1/kv/{key}?consistent");
        let (pairs, _) = self.read(Kind::Read, &path, Duration::ZERO).await?;
        Ok(pairs.into_iter().next().map(to_item))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Fault> {
        let path = format!("/v1/kv/{prefix}?recurse&consistent");
        let (pairs, index) = self.read(Kind::Read, &path, Duration::ZERO).await?;
        Ok(to_listing(pairs, index))
    }

    async fn list_stale(&self, prefix: &str) -> Result<Listing, Fault> {
        let path = format!("/v1/kv/{prefix}?recurse&stale");
        let (pairs, index) = self.read(Kind::Read, &path, Duration::ZERO).await?;
        Ok(to_listing(pairs, index))
    }

    async fn watch(&self, prefix: &str, since: Revision, wait: Duration) -> Result<Listing, Fault> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/kv/{prefix}?recurse&index={since}&wait={wait_ms}ms");
        let _waiting = self.counter.begin_wait();
        // The store extends the wait by up to a sixteenth, as jitter.
        let (pairs, index) = self.read(Kind::Watch, &path, wait + wait / 16).await?;
        Ok(to_listing(pairs, index))
    }

    async fn swap(&self, swap: Swap) -> Result<Revision, Fault> {
        let fenced = swap.fence.is_some();
        let key = swap.key.clone();
        let check = swap.fence.map(|fence| schema::Write {
            verb: schema::Verb::CheckSession,
            key: fence.key,
            session: Some(fence.lease),
            ..schema::Write::default()
        });
        let write = schema::Write {
            verb: schema::Verb::Cas,
            key: swap.key,
            value: swap.value,
            index: era::number(swap.expected),
            session: None,
        };
        let touch = swap.touch.map(|key| schema::Write {
            verb: schema::Verb::Set,
            key,
            ..schema::Write::default()
        });
        let operations: Vec<_> = check
            .into_iter()
            .chain([write])
            .chain(touch)
            .map(|kv| schema::Operation { kv })
            .collect();
        let answer = self.write(Kind::Write, "/v1/txn", &operations).await?;
        let lost = Fault::Lost {
            maybe_applied: true,
        };
        let transaction: schema::Transaction = decode(&answer.body).map_err(|_| lost)?;
        let refused = transaction.errors.unwrap_or_default().into_iter().next();
        match (answer.status, refused, transaction.results) {
            (StatusCode::CONFLICT, Some(refused), _) if fenced && refused.op_index == 0 => {
                Err(Fault::Expired)
            }
            (StatusCode::CONFLICT, ..) => Err(Fault::Conflict),
            (StatusCode::OK, None, Some(results)) => results
                .iter()
                .find(|applied| applied.kv.key == key)
                .map(|applied| Revision::from(applied.kv.modify_index))
                .ok_or(lost),
            _ => Err(lost),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Fault> {
        let session = schema::Session {
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "delete".to_owned(),
            lock_delay: "0s".to_owned(),
        };
        let answer = self
            .write(Kind::Lease, "/v1/session/create", &session)
            .await?;
        decode::<schema::Created>(&answer.body).map(|created| created.id)
    }

    async fn renew(&self, lease: &LeaseId) -> Result<(), Fault> {
        let path = format!("/v1/session/renew/{lease}");
        let answer = self.write(Kind::Lease, &path, &()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Err(Fault::Expired),
            _ => Ok(()),
        }
    }

    async fn revoke(&self, lease: &LeaseId) -> Result<(), Fault> {
        let path = format!("/v1/session/destroy/{lease}");
        self.write(Kind::Lease, &path, &()).await.map(drop)
    }

    async fn acquire(&self, key: &str, lease: &LeaseId) -> Result<bool, Fault> {
        let path = format!("/v1/kv/{key}?acquire={lease}");
        let answer = self.write(Kind::Lease, &path, lease).await?;
        decode(&answer.body)
    }
}

/// Returns the answer, or a fault if its status is none of 200, 404 and 409.
fn check_status(answer: Answer, maybe_applied: bool) -> Result<Answer, Fault> {
    match answer.status {
        StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::CONFLICT => Ok(answer),
        status if status.is_server_error() => Err(Fault::Failed {
            status: status.as_u16(),
            maybe_applied,
        }),
        status => Err(Fault::Rejected {
            status: status.as_u16(),
        }),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|_| Fault::Malformed)
}

fn to_item(pair: schema::Pair) -> KeyValue {
    KeyValue {
        key: pair.key,
        value: pair.value.unwrap_or_default(),
        revision: Revision::from(pair.modify_index),
    }
}

fn to_listing(pairs: Vec<schema::Pair>, index: Revision) -> Listing {
    Listing {
        items: pairs.into_iter().map(to_item).collect(),
        index,
    }
}
