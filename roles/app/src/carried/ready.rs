//! Answers whether the process takes traffic.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use ::http::StatusCode;
use net::http;
use net::http::Answer;
use platform::probe;
use smol::Executor;

/// Serves the question whether the process takes traffic.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    is_ready: Arc<AtomicBool>,
) -> io::Result<()> {
    let answer = move |question: http::Question| {
        let status = if probe::is_question(&question.method, &question.path) {
            probe::status(is_ready.load(Ordering::Relaxed))
        } else {
            StatusCode::NOT_FOUND
        };
        async move {
            Answer {
                status,
                content_type: "text/plain",
                body: String::new(),
            }
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}
