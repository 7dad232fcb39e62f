//! Accepts the announcements of the sidecar's backend server.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::HeaderMap;
use ::http::StatusCode;
use async_channel::Sender;
use net::http;
use net::http::Answer;
use platform::announcement;
use platform::announcement::Call;
use smol::Executor;

use crate::event::Event;
use crate::sidecar::control::Input;

/// Serves the address for announcements, which are sent to the control thread.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    backend: SocketAddr,
    executor: &Arc<Executor<'static>>,
    control: Sender<Input>,
) -> io::Result<()> {
    let answer = move |request: http::Question| {
        let control = control.clone();
        async move {
            let call = announcement::decode(&request.method, &request.path, &request.body);
            let input = call.and_then(|call| input_from(call, backend));
            let Some(input) = input else {
                let path = request.path;
                Event::NotAnAnnouncement { path }.log();
                return acknowledge(StatusCode::BAD_REQUEST);
            };
            match control.send(input).await {
                Ok(()) => acknowledge(StatusCode::OK),
                Err(_) => acknowledge(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}

/// Returns the input for a call about the backend server at `own`, or `None` if
/// the call announces another backend server.
fn input_from(call: Call, own: SocketAddr) -> Option<Input> {
    match call {
        Call::Announce {
            address,
            announcement,
        } if address == own => Some(Input::Announcement(announcement)),
        Call::Announce { .. } => None,
        Call::Deregister { name } => Some(Input::End { name }),
    }
}

fn acknowledge(status: StatusCode) -> Answer {
    Answer {
        status,
        content_type: "application/json",
        headers: HeaderMap::new(),
        body: announcement::ACKNOWLEDGEMENT.to_owned(),
    }
}
