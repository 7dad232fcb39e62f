//! Serves small HTTP requests.
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
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

/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Time that a connection may stay open.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(20);

/// Connections that are served at a time; more wait in the kernel's queue.
const MAX_CONNECTIONS: usize = 256;

/// A request.
#[derive(Clone, Debug)]
pub struct Question {
    /// HTTP method.
    pub method: Method,
    /// Path without its query.
    pub path: String,
    /// Query, empty for none.
    pub query: String,
    /// Body.
    pub body: Bytes,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

/// Serves an address on an executor; the address that was bound.
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
                    "a connection was not accepted: {error}; raise the limit of descriptors"
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

/// Pause after a connection could not be accepted.
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
    // An error here is a client that left.
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
    let content_type = http::HeaderValue::from_static(answer.content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
