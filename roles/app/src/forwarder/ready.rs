//! Readiness endpoint of gateways and sidecars.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use ::http::HeaderMap;
use ::http::StatusCode;
use net::http;
use net::http::Answer;
use platform::probe;
use smol::Executor;

/// Serves the platform's readiness check over HTTP. The process answers as ready while
/// all `conditions` hold.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    conditions: Vec<Arc<AtomicBool>>,
) -> io::Result<()> {
    let answer = move |request: http::Question| {
        let status = if probe::is_readiness_probe(&request.method, &request.path) {
            let mut conditions = conditions.iter();
            probe::status(conditions.all(|condition| condition.load(Ordering::Relaxed)))
        } else {
            StatusCode::NOT_FOUND
        };
        async move {
            Answer {
                status,
                content_type: "text/plain",
                headers: HeaderMap::new(),
                body: String::new(),
            }
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}
