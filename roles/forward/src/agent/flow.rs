//! What an agent knows of a flow that its backend server holds.
use std::net::SocketAddr;
use std::time::Duration;

use limit::Occupancy;
use limit::occupancy::Start;
use wire::Segment;
use wire::segment::Kind;
use wire::transit::Open;

/// Longest time that a request may take, where its route is not known.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A flow that the backend server holds.
#[derive(Debug)]
pub struct Flow {
    /// The entry that its last packet came through.
    pub entry: Option<SocketAddr>,
    /// The request under way, or the slot kept for the first.
    pub request_start: Option<Start>,
    /// The opening frame, until the backend server accepts the flow.
    pub open: Option<Open>,
    /// When its last packet came.
    pub last_used: Duration,
    /// Longest time that a request of the flow may take.
    request_timeout: Duration,
    /// When the request under way was last heard of, if any.
    request_started: Duration,
    handshake: Handshake,
    /// Whether `start` keeps a slot for a request that is yet to come, or that
    /// may be none.
    is_reserved: bool,
    /// Requests seen so far.
    requests: u32,
    /// Position after the caller's last content, once any was seen.
    position: Option<u32>,
    has_caller_ended: bool,
    has_server_ended: bool,
}

/// What a packet, or the time, has made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It is another request of a flow that has had one before.
    NextRequest,
    /// The backend server began to answer it, so long after it came.
    Answered(Duration),
    /// The backend server reset it, or did not answer it in its time.
    Failed,
}

/// How far the opening of a flow has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handshake {
    /// The flow is older than this process.
    Unseen,
    /// The opening packet went to the backend server.
    Sent,
    /// The backend server accepted it, at this position of its stream.
    Accepted(u32),
    /// The caller answered the backend server.
    Done,
}

/// Distance between a backend server's position and what the caller may have
/// acknowledged of it. Far less than between the positions of two servers.
const MAX_ACKNOWLEDGED_BYTES: u32 = 128 * 1024;

impl Flow {
    /// A flow whose opening packet goes to the backend server now.
    pub fn opening(now: Duration, start: Start, open: Open) -> Self {
        Self {
            entry: Some(open.entry),
            request_start: Some(start),
            request_timeout: Duration::from_millis(u64::from(open.patience_ms)),
            open: Some(open),
            is_reserved: true,
            handshake: Handshake::Sent,
            ..Self::discovered(now)
        }
    }

    /// A flow that the backend server turned out to hold.
    pub const fn discovered(now: Duration) -> Self {
        Self {
            entry: None,
            request_start: None,
            open: None,
            last_used: now,
            request_timeout: DEFAULT_REQUEST_TIMEOUT,
            request_started: now,
            handshake: Handshake::Unseen,
            is_reserved: false,
            requests: 0,
            position: None,
            has_caller_ended: false,
            has_server_ended: false,
        }
    }

    /// Whether a packet of the caller belongs to a flow that opened at another
    /// backend server, although the opening packet came here too.
    pub fn is_accepted_elsewhere(&mut self, segment: &Segment) -> bool {
        match self.handshake {
            Handshake::Unseen | Handshake::Done => false,
            Handshake::Sent => segment.kind != Kind::Reset,
            Handshake::Accepted(position) => {
                let is_ours = segment.acknowledged.wrapping_sub(position) <= MAX_ACKNOWLEDGED_BYTES;
                if is_ours {
                    self.handshake = Handshake::Done;
                }
                !is_ours && segment.kind != Kind::Reset
            }
        }
    }

    /// Notes a packet of the caller: it may begin a request, or give one up that
    /// took too long.
    pub fn record_caller_packet(
        &mut self,
        now: Duration,
        segment: &Segment,
        occupancy: &mut Occupancy,
    ) -> Option<Progress> {
        self.last_used = now;
        self.has_caller_ended |= matches!(segment.kind, Kind::Close | Kind::Reset);
        if segment.kind == Kind::Reset {
            let is_late = now >= self.request_started + self.request_timeout / 2;
            let is_failed = self.has_pending_request() && is_late;
            self.end_request(now, occupancy);
            return is_failed.then_some(Progress::Failed);
        }
        let is_new = self.advance_position(segment);
        let begins = is_new && (self.request_start.is_none() || self.is_reserved);
        if !begins {
            return None;
        }
        if self.request_start.is_none() {
            self.request_start = Some(occupancy.begin(now));
        }
        self.request_start = self.request_start.map(|start| start.moved(now));
        // The first content of a flow from before this process may be a repeat.
        self.is_reserved = self.handshake == Handshake::Unseen && self.requests == 0;
        self.request_started = now;
        self.requests = self.requests.saturating_add(1);
        (self.requests > 1).then_some(Progress::NextRequest)
    }

    /// Notes the position of the caller's content; true where it is new.
    fn advance_position(&mut self, segment: &Segment) -> bool {
        if segment.length == 0 {
            return false;
        }
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let is_new = match self.position {
            Some(position) => is_ahead(end, position),
            None => true,
        };
        if is_new {
            self.position = Some(end);
        }
        is_new
    }

    /// Notes a packet of the backend server. The first with content after a
    /// request means that the request has been worked on.
    pub fn record_server_packet(
        &mut self,
        now: Duration,
        segment: &Segment,
        occupancy: &mut Occupancy,
    ) -> Option<Progress> {
        self.last_used = now;
        self.open = None;
        if segment.kind == Kind::Accept && self.handshake == Handshake::Sent {
            self.handshake = Handshake::Accepted(segment.sequence);
        }
        self.has_server_ended |= matches!(segment.kind, Kind::Close | Kind::Reset);
        match self.request_start {
            Some(start) if segment.length > 0 && self.requests > 0 => {
                occupancy.finish(now, start);
                self.request_start = None;
                self.is_reserved = false;
                Some(Progress::Answered(now.saturating_sub(self.request_started)))
            }
            _ if segment.kind == Kind::Reset => {
                let is_failed = self.has_pending_request();
                self.end_request(now, occupancy);
                is_failed.then_some(Progress::Failed)
            }
            _ => None,
        }
    }

    /// Gives up the slot of a request that does not come, or whose caller has
    /// given up waiting; true where it was not answered.
    pub fn expire_request(
        &mut self,
        now: Duration,
        reserved: Duration,
        occupancy: &mut Occupancy,
    ) -> bool {
        let limit = if self.is_reserved {
            reserved
        } else {
            self.request_timeout
        };
        let is_over = self.request_start.is_some() && now >= self.request_started + limit;
        let is_failed = is_over && self.has_pending_request();
        if is_over {
            self.end_request(now, occupancy);
        }
        is_failed
    }

    /// Whether a request was sent that is not answered yet.
    const fn has_pending_request(&self) -> bool {
        self.request_start.is_some() && !self.is_reserved
    }

    /// Whether the flow is kept open between two requests.
    pub const fn is_idle(&self) -> bool {
        self.requests > 0
            && self.request_start.is_none()
            && !self.has_caller_ended
            && !self.has_server_ended
    }

    /// Whether the flow has ended and nothing more of it is expected.
    pub fn is_expired(&self, now: Duration, linger: Duration, idle: Duration) -> bool {
        let has_ended = self.has_caller_ended && self.has_server_ended;
        let limit = if has_ended { linger } else { idle };
        now >= self.last_used + limit
    }

    /// Gives up the request or the slot kept for one.
    pub fn end_request(&mut self, now: Duration, occupancy: &mut Occupancy) {
        self.is_reserved = false;
        if self.request_start.take().is_some() {
            occupancy.release(now);
        }
    }
}

/// Whether one position in a stream is after another; positions wrap around.
const fn is_ahead(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance <= u32::MAX / 2
}
