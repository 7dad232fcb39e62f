//! HTTP interface of a backend server.
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use smol::LocalExecutor;
use smol_hyper::rt::FuturesIo;

use super::Worker;
use super::model::request_name;
use super::worker::Job;
use super::worker::Outcome;

/// Header that is repeated in the answer to a request.
const EXCHANGE: &str = "exchange-id";

/// Value of the `retry-after` header in seconds.
const RETRY_AFTER_S: &str = "1";
/// Deadline of a request without a valid `deadline-ms` header.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

/// Accepts connections without end and serves each in its own task.
pub async fn accept(
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
    worker: Rc<Worker>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let worker = Rc::clone(&worker);
        let service = service_fn(move |request| respond(request, Rc::clone(&worker)));
        let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
        executor
            .spawn(async move {
                // A client may close the connection early.
                let _ = connection.await;
            })
            .detach();
    }
}

async fn respond(
    request: Request<Incoming>,
    worker: Rc<Worker>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let response = match (method, path.as_str()) {
        (Method::POST, "/run") => {
            let exchange = request.headers().get(EXCHANGE).cloned();
            let mut response = run(request, &worker).await;
            if let Some(exchange) = exchange {
                response.headers_mut().insert(EXCHANGE, exchange);
            }
            response
        }
        (Method::POST, "/drain") => {
            worker.drain();
            status(StatusCode::NO_CONTENT)
        }
        (Method::GET, "/health") if worker.reported_load().draining => {
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
        (Method::GET, "/health") => status(StatusCode::OK),
        (Method::GET, "/load") => json(&worker.reported_load()),
        (Method::GET, "/ledger") => json(&worker.ledger()),
        _ => status(StatusCode::NOT_FOUND),
    };
    Ok(response)
}

async fn run(request: Request<Incoming>, worker: &Rc<Worker>) -> Response<Full<Bytes>> {
    let request_id = header(&request, "request-id");
    let idempotent = self::header(&request, "idempotent") == "true";
    let deadline = self::header(&request, "deadline-ms")
        .parse()
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let payload = body.to_bytes();
    let job = Job {
        name: request_name(&payload, &request_id),
        idempotent,
        deadline,
    };
    match worker.run(job).await {
        Outcome::Finished => Response::new(Full::new(worker.answer(&payload).into())),
        Outcome::Shed => {
            let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
            let headers = response.headers_mut();
            headers.insert("retry-after", http::HeaderValue::from_static(RETRY_AFTER_S));
            response
        }
        Outcome::Expired => status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
