//! Answers backend servers that reach a gateway in place of their sidecar.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::StatusCode;
use net::http;
use net::http::Answer;
use smol::Executor;

use crate::event::Event;

/// Serves the address for announcements. A gateway stands beside no backend
/// server, so that its answer sends the caller on to another process.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub async fn serve(address: SocketAddr, executor: &Arc<Executor<'static>>) -> io::Result<()> {
    let answer = |question: http::Question| async move {
        let path = question.path;
        Event::NotAnAnnouncement { path }.log();
        Answer {
            status: StatusCode::SERVICE_UNAVAILABLE,
            content_type: "text/plain",
            body: "ask the sidecar on your own host\n".to_owned(),
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}
