//! Refuses new flows of a class that no backend server has capacity for.
use std::time::Duration;

use route::refusal::Change;
use route::refusal::Decision;
use wire::Priority;
use wire::ServiceAddress;
use wire::transit::Busy;
use wire::transit::Held;

use super::Action;
use super::Entry;
use super::PacketContext;
use super::Refusal;
use super::new_flow::NewFlow;
use crate::Routes;

impl Entry {
    /// Refuses a new flow if its class is refused everywhere; returns whether it did.
    ///
    /// Only the first opening packet of a flow that is not known here is refused: a
    /// later copy may belong to a flow that is already open.
    pub(super) fn refuses_class(
        &mut self,
        routes: &Routes,
        new: &NewFlow<'_>,
        context: &mut PacketContext<'_>,
    ) -> bool {
        let flow = context.segment.flow_from_caller();
        let is_first = !context.segment.is_retransmission() && !self.flows.contains_key(&flow);
        if !routes.table.has_priorities || !is_first {
            return false;
        }
        let (service, priority) = (new.service, new.route.priority);
        let targets = routes.ready_targets(service).map(|target| target.id);
        let decision = self.refusal.decide(context.now, service, priority, targets);
        self.report_refusal(service, priority, decision, context.actions);
        if decision != Decision::Refuse {
            return false;
        }
        context.actions.push(Action::Reset {
            flow,
            sequence: context.segment.acknowledged,
            reason: Refusal::NoCapacity,
        });
        true
    }

    /// Reports the beginning or end of a refusal, and a decision meanwhile.
    fn report_refusal(
        &mut self,
        service: ServiceAddress,
        priority: Priority,
        decision: Decision,
        actions: &mut Vec<Action>,
    ) {
        let change = self.refusal.take_change().map(|change| match change {
            Change::Began => Action::ClassRefused { service, priority },
            Change::Ended { refused } => Action::ClassAdmitted {
                service,
                priority,
                refused,
            },
        });
        let decided = match decision {
            Decision::Send => None,
            Decision::Try => Some(Action::ClassTried { priority }),
            Decision::Refuse => Some(Action::ClassFlowRefused { priority }),
        };
        actions.extend(change.into_iter().chain(decided));
    }

    /// Records which classes a backend server refuses.
    pub(super) fn record_busy(&mut self, now: Duration, busy: &Busy) {
        self.placement.record_load(now, busy.target, busy.load);
        if self.routes.table.has_priorities {
            self.refusal
                .record_refused(now, busy.target, busy.refused_from);
        }
    }

    /// Records that a backend server admitted a flow, or lets it wait.
    pub(super) fn record_admitted(&mut self, now: Duration, held: &Held) {
        // Only the holder itself states its load.
        let is_own_report = held.load.is_some();
        let route = self.routes.route(held.flow.service);
        let priority = route.map(|route| route.priority);
        if let Some(priority) = priority.filter(|_| is_own_report) {
            self.refusal
                .record_admitted(now, held.holder.target, priority);
        }
    }
}
