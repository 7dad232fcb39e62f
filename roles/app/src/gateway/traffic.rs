//! Forwards packets between callers and agents.
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Sender;
use bytes::Bytes;
use forward::Entry;
use forward::entry::Action;
use forward::entry::DropReason;
use forward::entry::Event;
use forward::entry::Proofs;
use forward::entry::Reason;
use forward::entry::Refusal;
use net::port::Received;
use platform::packet;
use store::Counts as Calls;
use wire::Frame;
use wire::Transit;

use crate::event as log;
use crate::forwarder::event::flow_name;
use crate::forwarder::event::priority_name;
use crate::forwarder::link::Link;
use crate::forwarder::reader;
use crate::gateway::control;
use crate::gateway::evacuation::Report;
use crate::metric;
use crate::metric::Instruments;
use crate::metric::forwarder::record;
use crate::metric::forwarder::to_count;

/// State shared by the threads of a gateway.
pub struct Traffic {
    /// The core, which decides and does no I/O.
    pub core: Mutex<Entry>,
    /// Sockets, log and metrics.
    pub link: Link,
    /// Queue of inputs to the control thread; inputs are dropped while it is full.
    pub control: Sender<control::Input>,
    /// Evacuated zones, as the control thread applies them.
    pub evacuation: Mutex<Report>,
}

/// Starts the threads that read callers' packets and frames.
///
/// # Errors
///
/// Returns the operating system's error if a thread cannot be started.
pub fn start(traffic: &Arc<Traffic>, callers: UdpSocket) -> io::Result<()> {
    let shared = Arc::clone(traffic);
    reader::spawn_packets("callers", callers, move |packet| shared.on_packet(packet))?;
    let shared = Arc::clone(traffic);
    reader::spawn("link", move || shared.link.send_waiting())?;
    let shared = Arc::clone(traffic);
    reader::spawn_frames(
        "frames",
        &traffic.link.port,
        move |received| match received {
            Some(received) => shared.on_frame(received),
            None => shared.handle(Event::Tick),
        },
    )
}

impl Traffic {
    /// Passes an event to the core, and executes the resulting actions.
    pub fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .handle(self.link.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Copies the counters and gauges to the instruments.
    ///
    /// # Errors
    ///
    /// Returns [`metric::Error::Unknown`] if a metric is not in the table.
    pub fn publish(
        &self,
        instruments: &mut Instruments,
        calls: &Calls,
    ) -> Result<(), metric::Error> {
        self.link.publish(instruments, calls)?;
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        instruments.set_size("carried.flows", core.len())?;
        for (zone, reason, count) in core.placed_flows() {
            let label = format!("{} zone {zone}", reason_label(reason));
            instruments.set("carried.flows.placed", &label, count)?;
        }
        for (address, size) in core.sizes() {
            let label = address.to_string();
            let requests = to_count(size.requests());
            instruments.set("carried.route.requests", &label, requests)?;
            let bytes = to_count(size.request_bytes());
            instruments.set("carried.route.bytes", &label, bytes)?;
        }
        instruments.set_size("carried.undecided", core.undecided())?;
        instruments.set("carried.version", "", core.version())?;
        drop(core);
        let evacuation = self.evacuation.lock();
        evacuation
            .unwrap_or_else(PoisonError::into_inner)
            .publish(instruments)
    }

    fn on_packet(&self, packet: &[u8]) {
        self.link.count("carried.packets", "from_caller");
        match packet::decode(packet) {
            Ok(segment) => self.handle(Event::Packet {
                segment,
                packet: Bytes::copy_from_slice(packet),
            }),
            Err(error) => self.link.drop_packet(error.name()),
        }
    }

    fn on_frame(&self, received: Received) {
        match received.frame {
            Frame::Transit(Transit::Held(held)) => self.handle(Event::Held(held)),
            Frame::Transit(Transit::NotHeld(denial)) => self.handle(Event::NotHeld(denial)),
            Frame::Transit(Transit::HolderAbsent(report)) => {
                self.handle(Event::HolderAbsent(report));
            }
            Frame::Transit(Transit::Report(report)) => self.handle(Event::Report(report)),
            Frame::Transit(Transit::Busy(busy)) => self.handle(Event::Busy(busy)),
            Frame::Control(payload) => {
                let from = received.from;
                let message = control::Input::Message { from, payload };
                if self.control.try_send(message).is_err() {
                    self.link.drop_packet("control_full");
                }
            }
            _ => self.link.drop_packet("unexpected"),
        }
    }

    fn perform(&self, action: Action) {
        let link = &self.link;
        match action {
            Action::Send { to, transit } => link.send_frame(to, transit),
            Action::Reset {
                flow,
                sequence,
                reason,
            } => {
                let detail = "decided by this gateway".to_owned();
                link.reset_flow(&flow, sequence, refusal_label(reason), detail);
            }
            Action::Opened {
                flow,
                first,
                hops,
                version,
            } => {
                link.count("carried.flows.opened", "");
                self.link.log(&log::Event::FlowOpened {
                    flow: flow_name(&flow),
                    first,
                    version,
                    count: hops.saturating_sub(1),
                });
            }
            Action::Accepted { took, is_evacuated } => {
                record(&link.telemetry.open_time, took);
                if is_evacuated {
                    link.count("carried.evacuation.accepted", "");
                }
            }
            Action::SearchRequested { .. }
            | Action::HolderFound { .. }
            | Action::HolderReplaced { .. }
            | Action::SearchFailed { .. } => self.report_search(&action),
            Action::ClassRefused { service, priority } => {
                let service = service.to_string();
                let refused = log::Event::ClassRefused { service, priority };
                self.link.log(&refused);
            }
            Action::ClassAdmitted {
                service,
                priority,
                refused,
            } => self.link.log(&log::Event::ClassAdmitted {
                service: service.to_string(),
                priority,
                refused,
            }),
            Action::ClassFlowRefused { priority } => {
                link.count("carried.class.refused", priority_name(priority));
            }
            Action::ClassTried { priority } => {
                link.count("carried.class.trials", priority_name(priority));
            }
            Action::Dropped(reason) => self.link.drop_packet(drop_label(reason)),
            Action::OverflowBegan { overflowed, opened } => {
                link.log(&log::Event::OverflowBegan { overflowed, opened });
            }
            Action::OverflowEnded { flows, lasted } => {
                let lasted_ms = lasted.as_millis();
                link.log(&log::Event::OverflowEnded { flows, lasted_ms });
            }
            Action::BatchRequested { .. }
            | Action::ProbesRequested { .. }
            | Action::BatchUnanswered { .. }
            | Action::SearchWidened { .. }
            | Action::Ended { .. }
            | Action::UndecidedDropped { .. } => self.report_undecided(&action),
        }
    }

    /// Counts and logs what was found out about the holder of one flow.
    fn report_search(&self, decision: &Action) {
        let link = &self.link;
        match decision {
            Action::SearchRequested {
                flow,
                searcher,
                known,
                terms,
            } => {
                link.count("carried.searches", "");
                link.log(&log::Event::FlowSought {
                    flow: flow_name(flow),
                    searcher: *searcher,
                    known: *known,
                    may_try: terms.may_probe,
                    max_age_ms: terms.max_age_ms,
                });
            }
            Action::HolderFound { flow, holder, took } => {
                link.count("carried.searches.ended", "found");
                record(&link.telemetry.search_time, *took);
                link.log(&log::Event::FlowFound {
                    flow: flow_name(flow),
                    holder: *holder,
                    took_us: took.as_micros(),
                });
            }
            Action::HolderReplaced {
                flow,
                former,
                holder,
            } => {
                link.count("carried.holders.replaced", "");
                link.log(&log::Event::HolderReplaced {
                    flow: flow_name(flow),
                    former: *former,
                    holder: *holder,
                });
            }
            Action::SearchFailed { flow, rounds } => {
                link.count("carried.searches.ended", "lost");
                link.log(&log::Event::FlowLost {
                    flow: flow_name(flow),
                    rounds: *rounds,
                });
            }
            _ => {}
        }
    }

    /// Counts and logs a decision on flows whose holder is unknown.
    fn report_undecided(&self, decision: &Action) {
        let link = &self.link;
        match decision {
            Action::BatchRequested {
                searcher,
                flows,
                known,
            } => {
                link.count("carried.batches", "sent");
                link.log(&log::Event::FlowsSought {
                    flows: *flows,
                    searcher: *searcher,
                    known: *known,
                });
            }
            Action::ProbesRequested { target, flows } => {
                link.count("carried.batches", "probes");
                let (target, flows) = (*target, *flows);
                link.log(&log::Event::ProbesRequested { target, flows });
            }
            Action::BatchUnanswered { searcher, flows } => {
                link.count("carried.batches", "unanswered");
                link.log(&log::Event::SearchUnanswered {
                    searcher: *searcher,
                    flows: *flows,
                });
            }
            Action::SearchWidened { flow } => {
                link.count("carried.searches.widened", "");
                let flow = flow_name(flow);
                link.log(&log::Event::SearchWidened { flow });
            }
            Action::Ended { flow, proofs, took } => {
                let proof = proof_label(*proofs);
                link.count("carried.flows.ended", proof);
                record(&link.telemetry.ended_time, *took);
                link.log(&log::Event::FlowEnded {
                    flow: flow_name(flow),
                    proof: proof.to_owned(),
                    took_us: took.as_micros(),
                });
            }
            Action::UndecidedDropped { flows } => {
                let counts = &link.telemetry.counts;
                let count = u64::try_from(*flows).unwrap_or(u64::MAX);
                counts.add_many("carried.flows.undecided", "", count);
                link.log(&log::Event::FlowsUndecided { flows: *flows });
            }
            _ => {}
        }
    }
}

const fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Home => "home",
        Reason::Overflow => "overflow",
        Reason::HomeHasNone => "home_has_none",
    }
}

const fn refusal_label(reason: Refusal) -> &'static str {
    match reason {
        Refusal::NoRoute => "no_route",
        Refusal::NoCapacity => "no_capacity",
        Refusal::NoServer => "no_server",
        Refusal::ServerEnded => "server_ended",
    }
}

/// Returns the weakest kind of proof among the denials of a flow.
const fn proof_label(proofs: Proofs) -> &'static str {
    match proofs {
        Proofs { younger: true, .. } => "younger",
        Proofs { returned: true, .. } => "returned",
        _ => "complete",
    }
}

const fn drop_label(reason: DropReason) -> &'static str {
    match reason {
        DropReason::Direction => "direction",
        DropReason::Unconfirmed => "unconfirmed",
        DropReason::NoRoute => "no_route",
        DropReason::RefusedCopy => "refused_copy",
        DropReason::ServersUnknown => "young",
        DropReason::QueueFull => "crowded",
        DropReason::HolderNotFound => "lost",
    }
}
