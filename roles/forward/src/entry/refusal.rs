//! Refuses new flows of a class that no backend server has capacity for.
use std::time::Duration;

use route::refusal::Decision;
use wire::ServiceAddress;
use wire::transit::Busy;
use wire::transit::Held;

use super::Action;
use super::Entry;
use super::PacketContext;
use super::Refusal;
use crate::Routes;

impl Entry {
    /// Refuses a new flow if its class is refused everywhere; returns whether it did.
    ///
    /// Only the first opening packet of a flow that is not known here is refused: a
    /// later copy may belong to a flow that is already open.
    pub(super) fn refuses_class(
        &mut self,
        routes: &Routes,
        context: &mut PacketContext<'_>,
    ) -> bool {
        let flow = context.segment.flow_from_caller();
        let is_first = !context.segment.is_retransmission() && !self.flows.contains_key(&flow);
        if !routes.table.has_priorities || !is_first {
            return false;
        }
        let Some(route) = routes.route(flow.service) else {
            return false;
        };
        let Some(service) = route.select_service(&flow) else {
            return false;
        };
        let targets = routes.ready_targets(service).map(|target| target.id);
        let priority = route.priority;
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

    /// Reports the beginning and end of a refusal, and each flow meanwhile.
    fn report_refusal(
        &mut self,
        service: ServiceAddress,
        priority: u8,
        decision: Decision,
        actions: &mut Vec<Action>,
    ) {
        let class = (service, priority);
        match (decision, self.refused_classes.get_mut(&class)) {
            (Decision::Send, Some(refused)) => {
                let refused = *refused;
                self.refused_classes.remove(&class);
                actions.push(Action::ClassAdmitted {
                    service,
                    priority,
                    refused,
                });
            }
            (Decision::Send, None) => {}
            (Decision::Try, _) => actions.push(Action::ClassTried { priority }),
            (Decision::Refuse, Some(refused)) => {
                *refused += 1;
                actions.push(Action::ClassFlowRefused { priority });
            }
            (Decision::Refuse, None) => {
                self.refused_classes.insert(class, 1);
                actions.push(Action::ClassRefused { service, priority });
                actions.push(Action::ClassFlowRefused { priority });
            }
        }
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
