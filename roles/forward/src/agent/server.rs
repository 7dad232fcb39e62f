//! Handles the packets and announcements of the backend server.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limit::Plausibility;
use limit::Risk;
use wire::FlowId;
use wire::Segment;
use wire::segment::Kind;
use wire::transit::Forward;

use super::Action;
use super::Agent;
use super::Announcement;
use super::DropReason;
use super::Probe;
use super::State;
use super::age::Age;
use super::backend::Start;
use super::flow;
use super::flow::Flow;
use super::flow::Progress;
use super::lookup::Absence;
use super::lookup::Evidence;
use super::lookup::send_not_held;

impl Agent {
    /// Handles a packet that the backend server returned because it does not
    /// hold or accept the flow.
    pub(super) fn handle_returned(
        &mut self,
        now: Duration,
        segment: Segment,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let is_open = segment.kind == Kind::Open;
        let has_answered = self.flows.get(&flow).is_some_and(Flow::has_answered);
        if is_open && has_answered {
            // The server accepted an earlier copy and holds the flow.
            return actions.push(Action::Dropped(DropReason::RefusedCopy));
        }
        self.presence.record_returned(now, segment.kind);
        let probe = self.probes.remove(&flow);
        let held = self.flows.remove(&flow);
        if held.as_ref().is_some_and(|flow| flow.slot.is_some()) {
            self.occupancy.release(now);
        }
        if is_open {
            return self.handle_rejected_open(now, flow, segment, held, packet, actions);
        }
        actions.push(Action::Returned {
            flow,
            was_held: held.is_some(),
        });
        let reply_to = match probe {
            Some(probe) => probe.reply_to,
            None => held.and_then(|flow| flow.entry),
        };
        self.deny(now, flow, reply_to, &segment, packet, actions);
    }

    /// Records that the backend server does not hold a flow, and reports it to
    /// the process that asked.
    fn deny(
        &mut self,
        now: Duration,
        flow: FlowId,
        reply_to: Option<SocketAddr>,
        segment: &Segment,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        self.flows_not_held.insert(now, flow, Absence::Returned);
        self.batches.record_returned(now);
        let Some(reply_to) = reply_to else {
            return;
        };
        if reply_to == self.own.address {
            return self.record_own_denial(now, flow, actions);
        }
        let forward = Forward {
            target: self.own.target,
            entry: reply_to,
            packet,
        };
        send_not_held(flow, forward, segment, self.evidence(now), actions);
    }

    /// Handles a packet that the backend server sent to a caller.
    pub(super) fn handle_sent(
        &mut self,
        now: Duration,
        segment: Segment,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_server();
        self.presence.record_sent(segment.kind);
        let probe = self.probes.remove(&flow);
        match probe {
            // The server has ended the flow, or never opened it because the caller
            // chose another server that accepted it. Only a flow of the latter kind
            // is still open, so the caller must not see this reset.
            Some(probe) if segment.kind == Kind::Reset => {
                self.presence.record_prior_flow();
                actions.push(Action::Dropped(DropReason::ForeignReset));
                let reply_to = probe.reply_to;
                return self.deny(now, flow, reply_to, &segment, Bytes::new(), actions);
            }
            None if segment.kind == Kind::Reset && self.is_unconfirmed(&flow) => {
                return actions.push(Action::Dropped(DropReason::ForeignReset));
            }
            _ => {}
        }
        let held = self.flows.entry(flow).or_insert_with(|| {
            self.presence.record_prior_flow();
            Flow::discovered(now)
        });
        if held.shows_prior_flow(&segment) {
            self.presence.record_prior_flow();
        }
        match held.record_server_packet(now, &segment, &mut self.occupancy) {
            Some(Progress::Answered(took)) => {
                // A close that overtook its answer shows nothing of it.
                let is_unseen = segment.length == 0;
                if is_unseen || self.plausibility.record_answer(took, segment.length) {
                    self.risk.record_answer(now);
                } else {
                    self.risk.record_failure(now);
                    actions.push(Action::Implausible { flow });
                }
                actions.push(Action::Answered { took });
            }
            Some(Progress::Failed) => {
                self.risk.record_failure(now);
                actions.push(Action::Failed { flow });
            }
            Some(Progress::NextRequest) | None => {}
        }
        actions.push(Action::ToCaller {
            caller: flow.caller,
            packet,
        });
        match probe {
            // The server answers on an earlier flow from the same port. It would not have
            // accepted another one while it holds that.
            Some(probe) if is_of_another_flow(&segment, &probe) => {
                let reply_to = probe.reply_to;
                let probed = Segment {
                    acknowledged: probe.acknowledged,
                    ..segment
                };
                self.deny(now, flow, reply_to, &probed, Bytes::new(), actions);
            }
            Some(probe) => {
                held.entry = Some(probe.entry);
                self.announce_holder(now, flow, probe.entry, actions);
            }
            None => {}
        }
    }

    /// Returns true if the server accepted a flow but the caller has not
    /// confirmed it, because it may have opened the flow at another server.
    fn is_unconfirmed(&self, flow: &FlowId) -> bool {
        self.flows.get(flow).is_some_and(Flow::is_unconfirmed)
    }

    /// Handles an announcement. The announcement of a newer start ends the
    /// flows and the failure estimate of the previous backend server.
    pub(super) fn handle_announcement(
        &mut self,
        now: Duration,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        let current = self.announcement.as_ref();
        if current.is_some_and(|held| announcement.is_older_than(held)) {
            return actions.push(Action::Dropped(DropReason::OldAnnouncement));
        }
        let is_first = current.is_none();
        if current.is_none_or(|held| held.start != announcement.start) {
            if !is_first {
                let opened_at = self.opened_at_latest_server(now, &announcement);
                self.end_flows(now, Some(opened_at), actions);
                self.risk = Risk::new(self.settings.risk, now);
                self.plausibility = Plausibility::default();
            }
            let interval = self.settings.max_announcement_interval;
            let age = Age::new(now, interval, &announcement);
            // An earlier agent may have run beside a backend server that started before
            // this one.
            let own_age = now.saturating_sub(self.started_at);
            self.may_hold_prior_flows &= age.longest(now) > own_age;
            self.server_age = Some(age);
            self.report_server(now, actions);
        }
        self.last_announced = now;
        self.unanswered_since = None;
        if self.own.target != announcement.target
            && let Some(others) = &mut self.evacuation
        {
            // They serve the service of the earlier backend server.
            *others = Arc::default();
        }
        self.own.target = announcement.target;
        self.occupancy.set_slots(announcement.slots);
        let cold_until = match announcement.warm_up {
            Duration::ZERO => Duration::ZERO,
            warm_up => now + warm_up,
        };
        self.warm_up.set_cold_until(cold_until);
        if !self.may_have_prior_flows() {
            self.warm_up.clear_earlier_use();
        }
        self.announcement = Some(announcement);
    }

    /// Records that a process listens at the address of the backend server.
    pub(super) fn record_listening(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let knew_all_flows = self.knows_all_flows(now);
        self.presence.record_listening();
        if self.knows_all_flows(now) && !knew_all_flows {
            self.report_server(now, actions);
            self.warm_up.clear_earlier_use();
        }
    }

    /// Reports what is known of the backend server's past, also in answer to earlier
    /// questions.
    fn report_server(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(age) = self.server_age else {
            return;
        };
        self.batches.record_start(now);
        actions.push(Action::ServerFound {
            age: age.longest(now),
            own_age: now.saturating_sub(self.started_at),
            knows_all_flows: self.knows_all_flows(now),
        });
    }

    /// Marks the backend server as terminated and ends its flows.
    pub(super) fn end_server(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match &mut self.announcement {
            Some(backend) => backend.state = State::Gone,
            None => self.presence.record_end(),
        }
        self.end_flows(now, None, actions);
    }

    /// Returns the time from which a flow may have been opened at the server that
    /// announces its start: a server can accept flows before its first announcement
    /// arrives.
    fn opened_at_latest_server(&self, now: Duration, announcement: &Announcement) -> Duration {
        let delay = self.settings.max_announcement_interval;
        let age = announcement.age.unwrap_or_default();
        now.saturating_sub(age + delay)
    }

    /// Ends the flows of the backend server, but for those that were opened after
    /// `kept_from`: if they were opened before the server restarted, it returns their
    /// next packet.
    fn end_flows(&mut self, now: Duration, kept_from: Option<Duration>, actions: &mut Vec<Action>) {
        let has_ended = |flow: &Flow| kept_from.is_none_or(|from| !flow.is_opened_after(from));
        let ended: Vec<FlowId> = self
            .flows
            .iter()
            .filter(|(_, held)| has_ended(held))
            .map(|(flow, _)| *flow)
            .collect();
        if !ended.is_empty() {
            actions.push(Action::ServerEnded { flows: ended.len() });
        }
        for flow in ended {
            let Some(held) = self.flows.remove(&flow) else {
                continue;
            };
            if held.slot.is_some() {
                self.occupancy.release(now);
            }
            match held.server_position {
                Some(position) => self.ended_flows.insert(now, flow, position),
                // The server has not accepted it.
                None => self.flows_not_held.insert(now, flow, Absence::Elsewhere),
            }
        }
        self.probes.clear();
    }

    /// Returns the age and start time that make a denial of a flow credible, or
    /// `None` before the first announcement.
    pub(super) fn evidence(&self, now: Duration) -> Option<Evidence> {
        let (max_age, server_start) = (self.max_age_as_proof(now)?, self.server_start()?);
        Some(Evidence {
            max_age,
            server_start,
        })
    }

    /// Returns the start time of the backend server by its own clock, or `None`
    /// before its first announcement.
    pub(super) fn server_start(&self) -> Option<Start> {
        self.announcement.as_ref().map(|backend| backend.start)
    }

    /// Returns the longest time for which the backend server can have been running, as
    /// a proof that it started in the same failure as an entry. A server that was
    /// running well before this process counts as older than any entry: then not the
    /// host has failed, but this process, and processes that the entry does not know
    /// yet may be starting beside servers that still run. A process that only started
    /// slowly shows in that no announcement was answered before. `None`
    /// before its first announcement.
    pub(super) fn max_age_as_proof(&self, now: Duration) -> Option<Duration> {
        let age = self.server_age?;
        let own_age = now.saturating_sub(self.started_at);
        if self.presence.has_started_since() {
            return Some(age.max(now).min(own_age));
        }
        let is_older =
            !age.is_probably_first_answered && age.max(now) > own_age + self.settings.start_lead;
        Some(if is_older {
            Duration::MAX
        } else {
            age.max(now)
        })
    }
}

/// Returns true if a packet of the backend server belongs to another flow between the same
/// addresses than the one that was probed.
fn is_of_another_flow(segment: &Segment, probe: &Probe) -> bool {
    segment.kind != Kind::Accept && !flow::is_acknowledged(segment.sequence, probe.acknowledged)
}
