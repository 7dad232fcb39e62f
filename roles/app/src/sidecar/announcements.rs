//! Accepts the announcements of the sidecar's backend server.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use ::http::HeaderMap;
use ::http::StatusCode;
use async_channel::Sender;
use forward::agent::Announcement;
use forward::agent::Filter;
use net::http;
use net::http::Answer;
use platform::Settings;
use platform::announcement;
use platform::announcement::Call;
use platform::name::service_address;
use smol::Executor;
use wire::ServiceAddress;

use crate::clock;
use crate::event::Event;
use crate::sidecar::control::Input;
use crate::sidecar::control::Notice;

/// Backend server of a sidecar.
#[derive(Clone, Debug)]
pub struct Backend {
    /// UDP address at which it receives packets.
    pub address: SocketAddr,
    /// Name of its service, if the settings state it.
    pub service: Option<String>,
    /// Path of the settings file.
    pub boot: PathBuf,
    /// Start of this process.
    pub origin: Instant,
    /// Announcements that it can have made.
    pub filter: Arc<Mutex<Filter>>,
}

/// Serves the address for announcements, which the control thread applies.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    backend: Backend,
    executor: &Arc<Executor<'static>>,
    control: Sender<Input>,
) -> io::Result<()> {
    let answer = move |request: http::Question| {
        let (control, backend) = (control.clone(), backend.clone());
        async move {
            let call = announcement::decode(&request.method, &request.path, &request.body);
            let notice = call.and_then(|call| notice_from(call, &backend));
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

/// Returns the notice in a call about the own backend server, or `None` if the call
/// announces another one, or one that cannot exist.
#[must_use]
pub fn notice_from(call: Call, own: &Backend) -> Option<Notice> {
    match call {
        Call::Announce {
            address,
            announcement,
        } if address == own.address
            && own.serves(announcement.service)
            && own.can_have_made(&announcement) =>
        {
            Some(Notice::State(Announcement {
                age: clock::elapsed_since(announcement.start),
                ..announcement
            }))
        }
        Call::Announce { .. } => None,
        Call::Deregister { name, start } => Some(Notice::End { name, start }),
    }
}

impl Backend {
    fn can_have_made(&self, announcement: &Announcement) -> bool {
        let mut filter = self.filter.lock().unwrap_or_else(PoisonError::into_inner);
        filter.accept(self.origin.elapsed(), clock::unix_time(), announcement)
    }

    /// Returns true if the settings name this service, or none. They are read again if
    /// they named another one when the process started.
    fn serves(&self, service: ServiceAddress) -> bool {
        let is_named = |name: &String| service_address(name) == service;
        if self.service.as_ref().is_none_or(is_named) {
            return true;
        }
        match Settings::read(&self.boot) {
            Ok(settings) => settings.service.as_ref().is_none_or(is_named),
            Err(error) => {
                log::warn!("{error}");
                false
            }
        }
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
