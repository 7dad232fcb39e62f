//! Takes the announcements of the backend server beside the sidecar.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::StatusCode;
use async_channel::Sender;
use net::http;
use net::http::Answer;
use platform::announcement;
use platform::announcement::Call;
use smol::Executor;

use crate::event::Event;
use crate::sidecar::control::Input;

/// Serves the address for announcements.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    backend: SocketAddr,
    executor: &Arc<Executor<'static>>,
    control: Sender<Input>,
) -> io::Result<()> {
    let answer = move |question: http::Question| {
        let control = control.clone();
        async move {
            let call = announcement::decode(&question.method, &question.path, &question.body);
            let input = call.and_then(|call| input(call, backend));
            let Some(input) = input else {
                let path = question.path;
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

/// What a call tells of the backend server here; others are not announced here.
fn input(call: Call, own: SocketAddr) -> Option<Input> {
    match call {
        Call::Announce { address, backend } if address == own => Some(Input::Backend(backend)),
        Call::Announce { .. } => None,
        Call::End { name } => Some(Input::End { name }),
    }
}

fn acknowledge(status: StatusCode) -> Answer {
    Answer {
        status,
        content_type: "application/json",
        body: announcement::ACKNOWLEDGEMENT.to_owned(),
    }
}
