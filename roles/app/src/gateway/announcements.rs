//! Answers backend servers that call a gateway instead of their sidecar.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::HeaderMap;
use ::http::StatusCode;
use net::http;
use net::http::Answer;
use smol::Executor;

use crate::event::Event;

/// Serves the address for announcements. A gateway has no backend server, so it
/// answers with status 503, after which the caller tries another process.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve(address: SocketAddr, executor: &Arc<Executor<'static>>) -> io::Result<()> {
    let answer = |request: http::Question| async move {
        let path = request.path;
        Event::NotAnAnnouncement { path }.log();
        Answer {
            status: StatusCode::SERVICE_UNAVAILABLE,
            content_type: "text/plain",
            headers: HeaderMap::new(),
            body: "ask the sidecar on your own host\n".to_owned(),
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}
