//! Runs requests on the backend server over HTTP/1.1.
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use displaydoc::Display;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::header::HeaderName;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use thiserror::Error;
use wire::RequestId;

/// Time to wait before a retry where a backend server sheds load and its response
/// has no `Retry-After` header, or one that is not a number of seconds.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time to establish a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Header that names one exchange of a request and its answer on a connection. A
/// backend server that repeats it in its answer has its connections reused.
const EXCHANGE: HeaderName = HeaderName::from_static("exchange-id");

/// Number of an exchange; unique within a client.
type ExchangeId = u64;

type Sender = http1::SendRequest<Full<Bytes>>;

/// HTTP client that runs requests on one backend server. Dropping the future of
/// [`Client::run`] closes the connection, which cancels the request.
pub struct Client {
    backend: SocketAddr,
    max_answer_bytes: usize,
    idle: RefCell<Vec<Sender>>,
    last_exchange: Cell<ExchangeId>,
}

/// One run of a request.
pub struct Run {
    /// Id of the request, chosen by its caller.
    pub request: RequestId,
    /// True where running the request more than once does no harm.
    pub idempotent: bool,
    /// Time left until the deadline.
    pub timeout: Duration,
    /// Payload of the request.
    pub payload: Bytes,
}

/// Failure of a request that got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// cannot connect to the backend server; start it or correct the backend address
    Unreachable,
    /// the deadline passed before the request was sent; set a longer deadline
    Expired,
    /// the backend server sheds load; retry after a delay
    Shed {
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// the connection closed before the whole answer arrived, so the request may have run; see the log of the backend server
    Broken,
    /// the backend server did not answer within the deadline, so the request may have run; set a longer deadline
    Timeout,
    /// the backend server answered with HTTP status {0}; see its log
    Status(u16),
    /// the answer is larger than the limit in bytes; raise the limit or answer with less
    TooLarge,
}

impl Client {
    /// Creates a client of the backend server at `backend` that accepts answers
    /// of up to `max_answer_bytes`.
    #[must_use]
    pub const fn new(backend: SocketAddr, max_answer_bytes: usize) -> Self {
        Self {
            backend,
            max_answer_bytes,
            idle: RefCell::new(Vec::new()),
            last_exchange: Cell::new(0),
        }
    }

    /// Runs a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// After [`Error::Unreachable`], [`Error::Expired`] and [`Error::Shed`] the
    /// request did not run; after any other error it may have run.
    pub async fn run(&self, run: Run) -> Result<Bytes, Error> {
        if run.timeout.is_zero() {
            return Err(Error::Expired);
        }
        let timeout = async {
            Timer::after(run.timeout).await;
            Err(Error::Timeout)
        };
        self.exchange(&run).or(timeout).await
    }

    async fn exchange(&self, run: &Run) -> Result<Bytes, Error> {
        let exchange = self.last_exchange.get() + 1;
        self.last_exchange.set(exchange);
        let mut request = build_request(self.backend, run, exchange);
        let mut sender = self.acquire_sender(run.idempotent).await?;
        let response = loop {
            match sender.try_send_request(request).await {
                Ok(response) => break response,
                Err(mut error) => match error.take_message() {
                    // The connection closed before the request was sent; send
                    // it on a new one.
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Broken),
                },
            }
            sender = self.connect().await?;
        };
        // The answer to an earlier request on this connection, sent a second time.
        let answered = answered_exchange(&response);
        if answered.is_some_and(|answered| answered != exchange) {
            return Err(Error::Broken);
        }
        let answer = self.read_answer(response).await?;
        let mut idle = self.idle.borrow_mut();
        if answered.is_some() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
        Ok(answer)
    }

    async fn read_answer(&self, response: Response<Incoming>) -> Result<Bytes, Error> {
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                let retry_after = parse_retry_after(&response);
                return Err(Error::Shed { retry_after });
            }
            status => return Err(Error::Status(status.as_u16())),
        }
        let body = Limited::new(response.into_body(), self.max_answer_bytes);
        match body.collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Error::TooLarge),
            Err(_) => Err(Error::Broken),
        }
    }

    /// Returns an idle connection that is still open, or a new one.
    ///
    /// Only connections whose answers name their exchange become idle: on any other,
    /// a second copy of an answer would be taken for the answer to the next request.
    ///
    /// The backend server may close an idle connection just as it is reused;
    /// then it is unknown whether the request ran. Requests that must not run
    /// twice therefore always use a new connection.
    async fn acquire_sender(&self, idempotent: bool) -> Result<Sender, Error> {
        while let Some(mut sender) = self.take_idle(idempotent) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        self.connect().await
    }

    fn take_idle(&self, idempotent: bool) -> Option<Sender> {
        if !idempotent {
            return None;
        }
        self.idle.borrow_mut().pop()
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(self.backend)
            .or(timeout)
            .await
            .map_err(|_| Error::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| Error::Unreachable)?;
        smol::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}

fn build_request(backend: SocketAddr, run: &Run, exchange: ExchangeId) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(run.payload.clone()));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("/run");
    let headers = request.headers_mut();
    for (name, value) in [
        (header::HOST, backend.to_string()),
        (
            HeaderName::from_static("request-id"),
            run.request.to_string(),
        ),
        (
            HeaderName::from_static("deadline-ms"),
            run.timeout.as_millis().to_string(),
        ),
        (
            HeaderName::from_static("idempotent"),
            run.idempotent.to_string(),
        ),
        (EXCHANGE, exchange.to_string()),
    ] {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    }
    request
}

/// Returns the exchange that an answer names, if any.
fn answered_exchange(response: &Response<Incoming>) -> Option<ExchangeId> {
    let value = response.headers().get(EXCHANGE)?;
    value.to_str().ok()?.parse().ok()
}

fn parse_retry_after(response: &Response<Incoming>) -> Duration {
    response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
