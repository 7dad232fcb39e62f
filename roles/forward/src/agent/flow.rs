//! State of a flow that the backend server holds, as its agent sees it.
use std::net::SocketAddr;
use std::time::Duration;

use limit::Occupancy;
use limit::occupancy::Start;
use wire::Priority;
use wire::Segment;
use wire::segment::Kind;
use wire::transit::Open;

/// Request timeout of a flow whose route is not known.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Flow that the backend server holds.
#[derive(Debug)]
pub struct Flow {
    /// Entry that sent the flow's last packet, if any did.
    pub entry: Option<SocketAddr>,
    /// Slot occupied by the pending request, or reserved for the first one.
    pub slot: Option<Start>,
    /// Opening frame, kept until the backend server sends its first packet.
    pub open: Option<Open>,
    /// Initial sequence number of the caller, and the time at which the opening
    /// packet was delivered; `None` if this process has not seen it.
    opened: Option<(u32, Duration)>,
    /// Load-shedding priority of its route, if it is known.
    pub priority: Option<Priority>,
    /// Time of the last packet.
    pub last_used: Duration,
    /// Timeout of the flow's requests.
    request_timeout: Duration,
    /// Time at which the pending request, or the reservation for one, began.
    request_started_at: Duration,
    handshake: Handshake,
    /// Whether `slot` is reserved for a request that has not arrived, or for a
    /// packet that may only repeat an answered request.
    is_reserved: bool,
    /// Number of requests seen so far.
    requests: u32,
    /// Sequence number after the caller's last content, once any was seen.
    position: Option<u32>,
    /// Sequence number of the backend server's content up to which the caller had
    /// received when it sent the pending request.
    received: u32,
    /// Sequence number of the backend server that the caller last acknowledged, or with
    /// which the server accepted the flow.
    pub server_position: Option<u32>,
    has_caller_ended: bool,
    has_server_ended: bool,
}

/// Change in a request, caused by a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// A request began on a flow that has had one before.
    NextRequest,
    /// The backend server began to answer, this long after the request.
    Answered(Duration),
    /// The backend server reset or closed the flow in place of an answer, or the
    /// caller gave the request up after at least half of its timeout.
    Failed,
}

/// Relation of an opening packet to a flow between the same addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// A copy of the packet that opened the flow, while its caller may be waiting
    /// for the flow to open.
    Copy,
    /// A copy that arrives after the caller has opened the flow or given it up.
    LateCopy,
    /// The caller opens another flow from the same port.
    Other,
}

/// Progress of a flow's handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handshake {
    /// The flow was opened before this process started.
    Unseen,
    /// The opening packet was delivered to the backend server.
    Sent,
    /// The backend server accepted the flow with this initial sequence number.
    Accepted(u32),
    /// The caller acknowledged the backend server's sequence number.
    Done,
}

/// Maximum distance in bytes between a sequence number of a backend server and the
/// caller's acknowledgement of about that time. The initial sequence numbers of two
/// servers are much further apart.
const MAX_ACKNOWLEDGED_BYTES: u32 = 128 * 1024;

impl Flow {
    /// Creates a flow whose opening packet is being delivered to the backend
    /// server.
    pub fn opening(now: Duration, start: Start, open: Open, segment: &Segment) -> Self {
        Self {
            opened: Some((segment.sequence, now)),
            entry: Some(open.entry),
            slot: Some(start),
            request_timeout: Duration::from_millis(u64::from(open.max_wait_ms)),
            priority: open.demand.map(|demand| demand.priority),
            open: Some(open),
            is_reserved: true,
            handshake: Handshake::Sent,
            ..Self::discovered(now)
        }
    }

    /// Creates a flow that the backend server was found to hold.
    pub const fn discovered(now: Duration) -> Self {
        Self {
            entry: None,
            slot: None,
            open: None,
            opened: None,
            priority: None,
            last_used: now,
            request_timeout: DEFAULT_REQUEST_TIMEOUT,
            request_started_at: now,
            handshake: Handshake::Unseen,
            is_reserved: false,
            requests: 0,
            position: None,
            received: 0,
            server_position: None,
            has_caller_ended: false,
            has_server_ended: false,
        }
    }

    /// Returns true if the backend server accepted an opening packet that was
    /// delivered at this time or later.
    pub fn is_opened_after(&self, time: Duration) -> bool {
        self.has_answered() && self.opened.is_some_and(|(_, at)| at >= time)
    }

    /// Compares an opening packet with the one that opened this flow. A caller may
    /// use a port again while the flow that it had from there is still in the table.
    pub fn compare_opening(
        &self,
        now: Duration,
        segment: &Segment,
        opening_timeout: Duration,
    ) -> Opening {
        match self.opened {
            Some((sequence, _)) if sequence != segment.sequence => Opening::Other,
            Some((_, at)) if now < at + opening_timeout => Opening::Copy,
            Some(_) => Opening::LateCopy,
            None if segment.is_retransmission() => Opening::LateCopy,
            None => Opening::Other,
        }
    }

    /// Returns true if a caller's packet shows that the flow was accepted by
    /// another backend server, although its opening packet came here too.
    /// Completes the handshake if the packet acknowledges this server.
    pub fn is_accepted_elsewhere(&mut self, segment: &Segment) -> bool {
        match self.handshake {
            Handshake::Unseen | Handshake::Done => {
                segment.kind != Kind::Reset && !self.is_acknowledged_by(segment.acknowledged)
            }
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

    /// Returns false if a caller that acknowledges this position uses another flow from
    /// the same port.
    pub fn is_acknowledged_by(&self, acknowledged: u32) -> bool {
        self.server_position
            .is_none_or(|position| is_acknowledged(position, acknowledged))
    }

    /// Returns true if the caller that acknowledges this position uses the flow at
    /// this backend server. False if the server has not accepted it, or the caller
    /// may have opened it at another server.
    pub fn is_used_here(&self, acknowledged: u32) -> bool {
        match self.handshake {
            Handshake::Unseen | Handshake::Done => self.is_acknowledged_by(acknowledged),
            Handshake::Accepted(position) => {
                acknowledged.wrapping_sub(position) <= MAX_ACKNOWLEDGED_BYTES
            }
            Handshake::Sent => false,
        }
    }

    /// Returns true if the backend server has accepted the flow, as far as this
    /// process has seen.
    pub const fn has_answered(&self) -> bool {
        matches!(self.handshake, Handshake::Accepted(_) | Handshake::Done)
    }

    /// Returns true if the backend server accepted the flow and the caller has
    /// not acknowledged that yet.
    pub const fn is_unconfirmed(&self) -> bool {
        matches!(self.handshake, Handshake::Accepted(_))
    }

    /// Records a packet of the caller. The packet may begin a request, or reset
    /// the flow and so give up a pending request.
    pub fn record_caller_packet(
        &mut self,
        now: Duration,
        segment: &Segment,
        occupancy: &mut Occupancy,
    ) -> Option<Progress> {
        self.last_used = now;
        if segment.kind != Kind::Reset {
            self.server_position = Some(segment.acknowledged);
        }
        self.has_caller_ended |= matches!(segment.kind, Kind::Close | Kind::Reset);
        if segment.kind == Kind::Reset {
            let is_late = now >= self.request_started_at + self.request_timeout / 2;
            let is_failed = self.has_pending_request() && is_late;
            self.end_request(now, occupancy);
            return is_failed.then_some(Progress::Failed);
        }
        let is_new = self.advance_position(segment);
        let begins = is_new && (self.slot.is_none() || self.is_reserved);
        // The server answers nothing on a flow that it has closed.
        if !begins || self.has_server_ended {
            return None;
        }
        if self.slot.is_none() {
            self.slot = Some(occupancy.begin(now));
        }
        self.slot = self.slot.map(|start| start.restarted_at(now));
        // The first content of a flow that was opened before this process
        // started may be a retransmission.
        self.is_reserved = self.handshake == Handshake::Unseen && self.requests == 0;
        self.request_started_at = now;
        self.received = segment.acknowledged;
        self.requests = self.requests.saturating_add(1);
        (self.requests > 1).then_some(Progress::NextRequest)
    }

    /// Returns true if a caller's packet carries only content seen before, which
    /// the caller sends again when it or its acknowledgement was lost.
    pub fn is_repeated(&self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let is_seen = self
            .position
            .is_some_and(|position| !is_ahead(end, position));
        segment.length > 0 && is_seen
    }

    /// Advances the position of the caller's content; returns whether the
    /// packet carries new content.
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

    /// Returns true if a packet of the backend server shows that it holds a flow which was
    /// opened before this process started: it did not accept the opening packet, of which
    /// this process has seen an old copy only.
    pub fn shows_prior_flow(&self, segment: &Segment) -> bool {
        self.handshake == Handshake::Sent && matches!(segment.kind, Kind::Data | Kind::Close)
    }

    /// Records a packet of the backend server. The first content after a
    /// request is the beginning of its answer and frees the slot. A reset or close
    /// without one ends the request.
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
            self.server_position = Some(segment.sequence);
        }
        if self.shows_prior_flow(segment) {
            self.handshake = Handshake::Unseen;
            self.end_request(now, occupancy);
        }
        if self.handshake == Handshake::Unseen && segment.kind != Kind::Reset {
            self.server_position.get_or_insert(segment.sequence);
        }
        self.has_server_ended |= matches!(segment.kind, Kind::Close | Kind::Reset);
        // A close may overtake the content before it.
        let follows_content =
            segment.kind == Kind::Close && is_ahead(segment.sequence, self.received);
        let has_content = segment.length > 0 || follows_content;
        match self.slot {
            Some(start) if has_content && self.requests > 0 => {
                occupancy.finish(now, start);
                self.slot = None;
                self.is_reserved = false;
                Some(Progress::Answered(
                    now.saturating_sub(self.request_started_at),
                ))
            }
            _ if matches!(segment.kind, Kind::Close | Kind::Reset) => {
                // A caller that gives up sends its lost request once more in the
                // packet that closes the flow, and the server only closes it too.
                let is_given_up = segment.kind == Kind::Close && self.has_caller_ended;
                let is_failed = self.has_pending_request() && !is_given_up;
                self.end_request(now, occupancy);
                is_failed.then_some(Progress::Failed)
            }
            _ => None,
        }
    }

    /// Frees the slot of a reservation or request that has timed out; returns
    /// whether a request was left unanswered.
    pub fn expire_request(
        &mut self,
        now: Duration,
        reservation_timeout: Duration,
        occupancy: &mut Occupancy,
    ) -> bool {
        let limit = if self.is_reserved {
            reservation_timeout
        } else {
            self.request_timeout
        };
        let is_over = self.slot.is_some() && now >= self.request_started_at + limit;
        let is_failed = is_over && self.has_pending_request();
        if is_over {
            self.end_request(now, occupancy);
        }
        is_failed
    }

    /// Returns true if a request has been sent and not answered yet.
    const fn has_pending_request(&self) -> bool {
        self.slot.is_some() && !self.is_reserved
    }

    /// Returns true if neither end has closed the flow.
    pub const fn is_open(&self) -> bool {
        !self.has_caller_ended && !self.has_server_ended
    }

    /// Returns true if both ends have closed the flow.
    pub const fn has_ended(&self) -> bool {
        self.has_caller_ended && self.has_server_ended
    }

    /// Returns true if the flow is open but has no pending request.
    pub const fn is_idle(&self) -> bool {
        self.requests > 0 && self.slot.is_none() && self.is_open()
    }

    /// Returns true if the flow can be dropped: no packet was seen for `linger`
    /// after its end, or for `idle_timeout` before it.
    pub fn is_expired(&self, now: Duration, linger: Duration, idle_timeout: Duration) -> bool {
        let limit = if self.has_ended() {
            linger
        } else {
            idle_timeout
        };
        now >= self.last_used + limit
    }

    /// Frees the slot of the pending request or reservation.
    pub fn end_request(&mut self, now: Duration, occupancy: &mut Occupancy) {
        self.is_reserved = false;
        if self.slot.take().is_some() {
            occupancy.release(now);
        }
    }
}

/// Returns true if a caller that acknowledges this uses the flow whose backend server
/// was at `position` when it was last seen.
pub const fn is_acknowledged(position: u32, acknowledged: u32) -> bool {
    let advance = acknowledged.wrapping_sub(position);
    advance <= MAX_ACKNOWLEDGED_BYTES || advance.wrapping_neg() <= MAX_ACKNOWLEDGED_BYTES
}

/// Returns true if one sequence number is after another; sequence numbers wrap
/// around.
const fn is_ahead(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance <= u32::MAX / 2
}
