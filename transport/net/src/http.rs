//! HTTP/1.1 server for small requests: probes, metrics and announcements.
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Executor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Longest time that a connection stays open.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(20);

/// Largest number of concurrent connections; further ones are closed once they
/// are accepted.
const MAX_CONNECTIONS: usize = 256;

/// An HTTP request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Question {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string, empty for none.
    pub query: String,
    /// Body.
    pub body: Bytes,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

/// Listens on `address`, answers requests with `answer` on the executor, and
/// returns the bound address.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub async fn serve<F>(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    answer: impl Fn(Question) -> F + Clone + Send + Sync + 'static,
) -> io::Result<SocketAddr>
where
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let accepting = accept_connections(listener, Arc::clone(executor), answer);
    executor.spawn(accepting).detach();
    Ok(bound)
}

async fn accept_connections<F>(
    listener: TcpListener,
    executor: Arc<Executor<'static>>,
    answer: impl Fn(Question) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    let permits = Arc::new(());
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(
                    "cannot accept an HTTP connection: {error}; retrying in \
                     {ACCEPT_RETRY_DELAY:?}; raise the limit of open files if it is reached"
                );
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if Arc::strong_count(&permits) > MAX_CONNECTIONS {
            continue;
        }
        let permit = Arc::clone(&permits);
        let answer = answer.clone();
        let connection = async move {
            serve_connection(stream, answer).await;
            drop(permit);
        };
        executor.spawn(connection).detach();
    }
}

/// Delay after a failed accept. Without it, accepting would spin while the
/// process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

async fn serve_connection<F>(stream: TcpStream, answer: impl Fn(Question) -> F + Clone)
where
    F: Future<Output = Answer>,
{
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer.clone();
        async move { Ok::<_, Infallible>(respond(request, answer).await) }
    });
    let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    let lifetime = async {
        Timer::after(CONNECTION_LIFETIME).await;
        Ok(())
    };
    // An error here means that the client closed the connection.
    let _ = connection.or(lifetime).await;
}

async fn respond<F>(
    request: Request<Incoming>,
    answer: impl Fn(Question) -> F,
) -> Response<Full<Bytes>>
where
    F: Future<Output = Answer>,
{
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return response(Answer {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            content_type: "text/plain",
            headers: HeaderMap::new(),
            body: "the body is too large or was cut\n".to_owned(),
        });
    };
    let question = Question {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body: body.to_bytes(),
    };
    response(answer(question).await)
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let content_type = http::HeaderValue::from_static(answer.content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
