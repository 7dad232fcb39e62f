//! Accepts the announcements of the sidecar's backend server.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::HeaderMap;
use ::http::StatusCode;
use async_channel::Sender;
use forward::agent::Announcement;
use net::http;
use net::http::Answer;
use platform::announcement;
use platform::announcement::Call;
use smol::Executor;

use crate::clock;
use crate::event::Event;
use crate::sidecar::control::Input;
use crate::sidecar::control::Notice;

/// Serves the address for announcements, which the control thread applies.
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
            let notice = call.and_then(|call| notice_from(call, backend));
            let Some(notice) = notice else {
                let path = request.path;
                Event::NotAnAnnouncement { path }.log();
                return acknowledge(StatusCode::BAD_REQUEST);
            };
            match apply(&control, notice).await {
                Some(()) => acknowledge(StatusCode::OK),
                None => acknowledge(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
    };
    http::serve(address, executor, answer).await.map(drop)
}

/// Waits until the control thread has put a notice in force: from the
/// acknowledgement on, a backend server that leaves gets no new flows. Returns
/// `None` if the process is ending.
async fn apply(control: &Sender<Input>, notice: Notice) -> Option<()> {
    let (done, applied) = async_channel::bounded(1);
    control.send(Input::Server { notice, done }).await.ok()?;
    applied.recv().await.ok()
}

/// Returns the notice in a call about the backend server at `own`, or `None` if
/// the call announces another backend server.
fn notice_from(call: Call, own: SocketAddr) -> Option<Notice> {
    match call {
        Call::Announce {
            address,
            announcement,
        } if address == own => Some(Notice::State(Announcement {
            age: clock::elapsed_since(announcement.start),
            ..announcement
        })),
        Call::Announce { .. } => None,
        Call::Deregister { name } => Some(Notice::End { name }),
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
