//! Selects agents for new flows.
use std::time::Duration;

use wire::Hop;
use wire::Segment;
use wire::Target;
use wire::TargetId;
use wire::Transit;
use wire::transit::Open;

use super::Action;
use super::DropReason;
use super::Entry;
use super::PacketContext;
use super::Refusal;
use super::flow;
use super::flow::Phase;
use super::new_flow::NewFlow;
use crate::Routes;
use crate::millis;

impl Entry {
    /// Sends an opening packet to the agents that are expected to answer
    /// soonest, or its retransmission to the agent that received the first
    /// copy. An agent that did not answer in time is skipped.
    pub(super) fn handle_open(&mut self, routes: &Routes, mut context: PacketContext<'_>) {
        let flow = context.segment.flow_from_caller();
        let new = self.new_flow(routes, &flow);
        let mut tried = Vec::new();
        let is_reused = !context.segment.is_retransmission()
            && self.flows.get(&flow).is_some_and(|held| {
                held.is_closing || context.now >= held.phase_since + self.settings.opening_timeout
            });
        match self.flows.get_mut(&flow).map(|flow| &mut flow.phase) {
            // The caller opens another flow from the same port.
            Some(_) if is_reused => {
                self.flows.remove(&flow);
            }
            Some(Phase::Held(holder)) => {
                let holder = *holder;
                return self.send_to_holder(holder, context);
            }
            Some(Phase::Opening(opening))
                if context.now < opening.sent_at + self.settings.agent_timeout =>
            {
                let first = opening.path[0];
                tried.clone_from(&opening.tried);
                return self.send_open(routes, new.as_ref(), vec![first], tried, context);
            }
            Some(Phase::Opening(opening)) => {
                let first = opening.path[0].target;
                tried.clone_from(&opening.tried);
                tried.push(first);
                self.placement.mark_unresponsive(context.now, first);
            }
            _ => {}
        }
        let refuses = new
            .as_ref()
            .is_some_and(|new| self.refuses_class(routes, new, &mut context));
        if refuses {
            return;
        }
        let path = match &new {
            Some(new) => self.choose_path(routes, new, context.now, &tried),
            None => Vec::new(),
        };
        if path.is_empty() {
            return self.refuse_without_server(
                routes,
                &context.segment,
                context.now,
                context.actions,
            );
        }
        self.send_open(routes, new.as_ref(), path, tried, context);
    }

    /// Returns the agents that an opening packet visits, best first. Those in
    /// `tried` are left out unless there are no others.
    fn choose_path(
        &mut self,
        routes: &Routes,
        new: &NewFlow<'_>,
        now: Duration,
        tried: &[TargetId],
    ) -> Vec<Hop> {
        let untried = routes
            .ready_targets(new.service)
            .filter(|target| !tried.contains(&target.id));
        let count = self.settings.path_length;
        let ranked = self.placement.rank(now, &new.need, untried, count);
        let ranked = if ranked.is_empty() {
            let all = routes.ready_targets(new.service);
            self.placement.rank(now, &new.need, all, count)
        } else {
            ranked
        };
        ranked.into_iter().map(Target::hop).collect()
    }

    /// Refuses a flow for which there is no backend server. An entry that has
    /// just started drops the packet instead, because it may not know the
    /// backend servers yet.
    fn refuse_without_server(
        &self,
        routes: &Routes,
        segment: &Segment,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let is_starting = now < self.started_at + self.settings.startup_grace;
        let flow = segment.flow_from_caller();
        let is_known = routes.route(flow.service).is_some_and(|route| {
            let mut shares = route.shares.iter();
            shares.any(|share| routes.targets_of(share.service).next().is_some())
        });
        actions.push(if is_starting && !is_known {
            Action::Dropped(DropReason::ServersUnknown)
        } else if segment.is_retransmission() {
            Action::Dropped(DropReason::RefusedCopy)
        } else {
            Action::Reset {
                flow,
                sequence: segment.acknowledged,
                reason: Refusal::NoServer,
            }
        });
    }

    /// Sends an opening packet to the first agent of a path.
    fn send_open(
        &mut self,
        routes: &Routes,
        new: Option<&NewFlow<'_>>,
        path: Vec<Hop>,
        tried: Vec<TargetId>,
        context: PacketContext<'_>,
    ) {
        let flow = context.segment.flow_from_caller();
        let first = path[0];
        let timeout = new.map(|new| new.route.timeout);
        let crossing = new.and_then(|new| self.crossing(routes, new, &path));
        self.placement.record_sent(first.target);
        let is_first = !self.flows.contains_key(&flow);
        if is_first {
            let size = self.sizes.entry(flow.service).or_default();
            size.record_flow(context.now);
            if let Some(new) = new {
                self.record_placed(routes, new, first.target);
            }
            context.actions.push(Action::Opened {
                flow,
                first: first.target,
                hops: path.len(),
                version: routes.table.version,
            });
        }
        self.store_flow(
            context.now,
            flow,
            Phase::Opening(flow::Opening {
                path: path.clone(),
                tried,
                sent_at: context.now,
            }),
        );
        context.actions.push(Action::Send {
            to: first.address,
            transit: Transit::Open(Open {
                entry: self.address,
                path,
                position: 0,
                bids: Vec::new(),
                is_settled: false,
                max_wait_ms: millis(timeout.unwrap_or_default()),
                packet: context.packet,
                demand: new.and_then(|new| new.demand),
                crossing,
            }),
        });
    }
}
