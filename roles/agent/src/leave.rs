//! Planned stop and replacement: finish, hand the flows over, exit.
use std::net::SocketAddr;
use std::time::Duration;

use wire::caller::Reason;
use wire::target::State;

use crate::Action;
use crate::Agent;
use crate::agent::Turn;
use crate::event::JobId;
use crate::park::Part;
use crate::park::Purpose;
use crate::task::End;
use crate::task::Stage;
use crate::view::Binding;

/// Time between two tries to send the last part, or to find a peer.
const RESEND: Duration = Duration::from_millis(200);

/// Peers that a successor asks, over those that its predecessor did.
const CLAIM_FACTOR: usize = 2;

/// How far an agent is on its way out.
#[derive(Debug)]
pub(crate) enum Leaving {
    /// Requests that are underway may finish.
    Finishing { until: Duration, then: Then },
    /// The state goes to a peer; nothing changes here any more.
    HandingOver(Handover),
    /// Nothing is left to do.
    Gone,
}

/// What follows when requests have finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Then {
    /// Hand the flows over.
    Handover(Purpose),
    /// Exit; the flows end with the backend server.
    Exit,
}

/// The state on its way to a peer.
///
/// The first part has no flows: it only asks whether the peer takes them.
/// Once the last part has been sent, the peer may have the whole state, and no
/// other peer is asked, since two must never hold the same flows.
#[derive(Debug)]
pub(crate) struct Handover {
    parts: Vec<Part>,
    index: usize,
    peers: Vec<SocketAddr>,
    until: Duration,
    resend: Option<Duration>,
}

impl Leaving {
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        match self {
            Self::Finishing { until, .. } => Some(*until),
            Self::HandingOver(handover) => {
                let resend = handover.resend.unwrap_or(handover.until);
                Some(resend.min(handover.until))
            }
            Self::Gone => None,
        }
    }
}

impl Agent {
    pub(crate) fn on_stop(&mut self, turn: &mut Turn<'_>) {
        let then = match self.view.service.binding {
            Binding::Bound => Then::Exit,
            Binding::Independent => Then::Handover(Purpose::Adopt),
        };
        self.begin_leaving(turn, then);
    }

    pub(crate) fn on_replace(&mut self, turn: &mut Turn<'_>) {
        self.begin_leaving(turn, Then::Handover(Purpose::Keep));
    }

    fn begin_leaving(&mut self, turn: &mut Turn<'_>, then: Then) {
        if self.leaving.is_none() {
            let until = turn.now + self.settings.leave.grace;
            self.leaving = Some(Leaving::Finishing { until, then });
            self.claiming = None;
        }
    }

    /// Whether the flows are on their way to a peer, so that nothing may be
    /// recorded here any more.
    pub(crate) fn is_handing_over(&self) -> bool {
        matches!(self.leaving, Some(Leaving::HandingOver(_) | Leaving::Gone))
    }

    /// Refuses a request that came while the agent leaves. The record goes
    /// along with the flow, so the request will not run.
    pub(crate) fn refuse_leaving(&mut self, turn: &mut Turn<'_>, job: JobId) {
        let reason = match self.leaving {
            Some(Leaving::Finishing {
                then: Then::Exit, ..
            }) => Reason::Draining,
            _ => Reason::HolderAway,
        };
        let refusal = self.refusal(reason, self.settings.leave.away);
        self.conclude(turn, job, End::NotRun(refusal));
    }

    /// Goes on once nothing is underway and no successor of another agent has
    /// still to claim what is kept here, or once the time for that is over.
    pub(crate) fn leave_when_finished(&mut self, turn: &mut Turn<'_>) {
        let then = match self.leaving {
            Some(Leaving::Finishing { until, then })
                if self.tasks.is_empty()
                    && (until <= turn.now || !self.keep.awaits_successor()) =>
            {
                then
            }
            _ => return,
        };
        match then {
            Then::Exit => self.exit(turn),
            Then::Handover(purpose) => self.begin_handover(turn, purpose),
        }
    }

    pub(crate) fn expire_leaving(&mut self, turn: &mut Turn<'_>) {
        match &self.leaving {
            Some(Leaving::Finishing { until, .. }) if *until <= turn.now => {
                self.abandon_all(turn);
                self.leave_when_finished(turn);
            }
            Some(Leaving::HandingOver(handover)) if handover.until <= turn.now => self.exit(turn),
            Some(Leaving::HandingOver(handover))
                if handover.resend.is_some_and(|at| at <= turn.now) =>
            {
                self.send_part(turn);
            }
            _ => {}
        }
    }

    /// Gives up what is underway, and what waits first, so that no slot that
    /// becomes free is taken by a request that would be cut at once.
    fn abandon_all(&mut self, turn: &mut Turn<'_>) {
        let (waiting, others): (Vec<JobId>, Vec<JobId>) = self
            .tasks
            .keys()
            .partition(|job| matches!(self.tasks[*job].stage, Stage::New | Stage::Queued));
        for job in waiting.into_iter().chain(others) {
            let refusal = self.refusal(Reason::HolderAway, self.settings.leave.away);
            self.abandon(turn, job, refusal);
        }
    }

    fn begin_handover(&mut self, turn: &mut Turn<'_>, purpose: Purpose) {
        let parts = self.parts(turn.now, purpose);
        if parts.len() == 1 {
            return self.exit(turn);
        }
        let peers = self.keepers();
        self.leaving = Some(Leaving::HandingOver(Handover {
            parts,
            index: 0,
            peers,
            until: turn.now + self.settings.leave.handover,
            resend: None,
        }));
        self.send_part(turn);
    }

    /// Sends the part that is next. While no peer takes the state, those that
    /// are there are asked again: the only one may be starting.
    fn send_part(&mut self, turn: &mut Turn<'_>) {
        let keepers = self.keepers();
        let Some(Leaving::HandingOver(handover)) = &mut self.leaving else {
            return;
        };
        if handover.peers.is_empty() {
            handover.peers = keepers;
        }
        handover.resend = None;
        match (handover.peers.first(), handover.parts.get(handover.index)) {
            (Some(&to), Some(part)) => turn.push(Action::Park {
                to,
                part: part.clone(),
            }),
            _ => handover.resend = Some(turn.now + RESEND),
        }
    }

    pub(crate) fn on_parked(&mut self, turn: &mut Turn<'_>, index: u32, accepted: bool) {
        let Some(Leaving::HandingOver(handover)) = &mut self.leaving else {
            return;
        };
        if handover.peers.is_empty() || usize::try_from(index) != Ok(handover.index) {
            return;
        }
        let is_last = handover.index + 1 == handover.parts.len();
        match accepted {
            true if is_last => return self.exit(turn),
            true => handover.index += 1,
            false if is_last => {
                handover.resend = Some(turn.now + RESEND);
                return;
            }
            false => {
                handover.peers.remove(0);
                handover.index = 0;
                if handover.peers.is_empty() {
                    handover.resend = Some(turn.now + RESEND);
                    return;
                }
            }
        }
        self.send_part(turn);
    }

    fn exit(&mut self, turn: &mut Turn<'_>) {
        self.leaving = Some(Leaving::Gone);
        turn.push(Action::Announce {
            state: State::Left,
            weight: self.gate.weight(),
        });
        turn.push(Action::Exit);
    }

    /// Control addresses of the peers that an agent leaves its state with, in an
    /// order that depends on their ids alone, so that an agent and its successor
    /// ask the same ones.
    fn keepers(&self) -> Vec<SocketAddr> {
        self.peers(self.settings.leave.peers, |state| state == State::Ready)
    }

    /// Control addresses of the peers that may have the state of a predecessor.
    /// Since it was left with one of them, some may have begun to leave, and
    /// others have come.
    pub(crate) fn possible_keepers(&self) -> Vec<SocketAddr> {
        let count = self.settings.leave.peers * CLAIM_FACTOR;
        self.peers(count, |state| state != State::Left)
    }

    fn peers(&self, count: usize, accepts: impl Fn(State) -> bool) -> Vec<SocketAddr> {
        let mut peers: Vec<&wire::Target> = self
            .view
            .targets
            .iter()
            .filter(|target| target.id != self.identity.id && accepts(target.state))
            .collect();
        peers.sort_by_key(|target| target.id.wrapping_sub(self.identity.id));
        peers
            .iter()
            .take(count)
            .map(|target| target.control)
            .collect()
    }
}
