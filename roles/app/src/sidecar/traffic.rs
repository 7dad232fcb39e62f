//! Forwards packets between entries and the backend server.
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Sender;
use bytes::Bytes;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Closed;
use forward::agent::DropReason;
use forward::agent::Event;
use forward::agent::Refusal;
use net::port::Received;
use platform::packet;
use store::Counts as Calls;
use wire::Frame;
use wire::Transit;

use crate::event as log;
use crate::forwarder::event::flow_name;
use crate::forwarder::link::Link;
use crate::forwarder::reader;
use crate::metric;
use crate::metric::Instruments;
use crate::metric::forwarder::record;
use crate::sidecar::class;
use crate::sidecar::control;

/// State shared by the threads of a sidecar.
pub struct Traffic {
    /// The core, which decides and does no I/O.
    pub core: Mutex<Agent>,
    /// Sockets, log and metrics.
    pub link: Link,
    /// UDP address of the backend server.
    pub backend: SocketAddr,
    /// Queue of inputs to the control thread; inputs are dropped while it is full.
    pub control: Sender<control::Input>,
}

/// Starts the threads that read the backend server's packets and frames.
///
/// # Errors
///
/// Returns the operating system's error if a thread cannot be started.
pub fn start(traffic: &Arc<Traffic>, servers: UdpSocket) -> io::Result<()> {
    let shared = Arc::clone(traffic);
    reader::spawn_packets("servers", servers, move |packet| shared.on_packet(packet))?;
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
        self.lock().handle(self.link.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Returns true if requests are running or waiting at the backend server.
    pub fn is_busy(&self) -> bool {
        self.lock().is_busy()
    }

    /// Returns true if the backend server accepts new flows.
    pub fn is_open(&self) -> bool {
        self.lock().is_open(self.link.now())
    }

    /// Returns the number of callers' packets delivered to the backend server, and of
    /// those that carried only content seen before.
    pub fn repeats(&self) -> (u64, u64) {
        let counts = &self.link.telemetry.counts;
        let received = counts.get("carried.packets", "to_server");
        (received, self.lock().repeated_packets())
    }

    /// Returns true if the backend server has not announced itself to this process, or no
    /// process has listened at its address yet.
    pub fn awaits_server(&self) -> bool {
        self.lock().awaits_server()
    }

    /// Returns true if there is no backend server that could hold flows.
    pub fn lacks_server(&self) -> bool {
        self.lock().lacks_server(self.link.now())
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
        let core = self.lock();
        instruments.set_size("carried.flows", core.len())?;
        instruments.set("carried.repeated", "", core.repeated_packets())?;
        instruments.set("carried.cold", "", core.cold_limit(self.link.now()))?;
        instruments.set("carried.running", "", core.running().into())
    }

    fn lock(&self) -> MutexGuard<'_, Agent> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn on_packet(&self, packet: &mut [u8]) {
        self.link.count("carried.packets", "from_server");
        match packet::decode(packet) {
            Ok(segment) => {
                packet::restore(packet);
                let packet = Bytes::copy_from_slice(packet);
                self.handle(Event::ServerPacket { segment, packet });
            }
            Err(error) => self.link.drop_packet(error.name()),
        }
    }

    fn on_frame(&self, received: Received) {
        let transit = match received.frame {
            Frame::Transit(transit) => transit,
            Frame::Control(payload) => {
                let from = received.from;
                let message = control::Input::Message { from, payload };
                if self.control.try_send(message).is_err() {
                    self.link.drop_packet("control_full");
                }
                return;
            }
            _ => return self.link.drop_packet("unexpected"),
        };
        match event_from(transit) {
            Ok(Some(event)) => {
                self.learn_priority(&event);
                self.handle(event);
            }
            Ok(None) => self.link.drop_packet("unexpected"),
            Err(error) => self.link.drop_packet(error.name()),
        }
    }

    /// Learns the priority of an address from an opening frame.
    fn learn_priority(&self, event: &Event) {
        if let Event::Open { open, segment } = event
            && let Some(demand) = open.demand
        {
            let classes = &self.link.classes;
            classes.learn(segment.destination, demand.priority);
        }
    }

    fn perform(&self, action: Action) {
        let link = &self.link;
        match action {
            Action::Deliver(packet) => {
                link.count("carried.packets", "to_server");
                link.send_to_server(self.backend, &packet);
            }
            Action::ToCaller { caller, packet } => {
                link.count("carried.packets", "to_caller");
                link.send_to_caller(caller, &packet);
            }
            Action::Send { to, transit } => link.send_frame(to, transit),
            Action::Reset {
                flow,
                sequence,
                reason,
                bids,
            } => {
                let detail = format!("bids of the agents asked: {bids:?} ms");
                link.reset_flow(&flow, sequence, refusal_label(reason), detail);
            }
            Action::Answered { took } => record(&link.telemetry.request_time, took),
            decision => self.report(&decision),
        }
    }

    /// Counts and logs a decision on a new flow.
    fn report_admission(&self, decision: &Action) {
        let link = &self.link;
        match decision {
            Action::Admitted {
                flow,
                bid,
                running,
                held,
                entry,
            } => {
                link.count("carried.flows.taken", "");
                self.link.log(&log::Event::FlowTaken {
                    flow: flow_name(flow),
                    wait_us: bid.wait.as_micros(),
                    held_us: bid.held.as_micros(),
                    risk_us: bid.risk.as_micros(),
                    running: *running,
                    held: *held,
                    entry: *entry,
                });
            }
            Action::Waits { flow, bid, waiting } => {
                link.count("carried.flows.waited", "");
                self.link.log(&log::Event::FlowWaits {
                    flow: flow_name(flow),
                    wait_us: bid.wait.as_micros(),
                    waiting: *waiting,
                });
            }
            Action::PassedOn {
                flow,
                bid,
                to,
                is_settled,
            } => {
                link.count("carried.flows.passed", "");
                if *bid == Err(Closed::Evacuated) {
                    link.count("carried.evacuation.passed", "");
                }
                let bid = match bid {
                    Ok(bid) => format!("{} us", (bid.wait + bid.held + bid.risk).as_micros()),
                    Err(closed) => format!("{closed:?}").to_lowercase(),
                };
                self.link.log(&log::Event::FlowPassed {
                    flow: flow_name(flow),
                    bid,
                    to: *to,
                    settled: *is_settled,
                });
            }
            _ => {}
        }
    }

    /// Counts and logs a decision of the core.
    fn report(&self, decision: &Action) {
        let link = &self.link;
        match decision {
            Action::Admitted { .. } | Action::Waits { .. } | Action::PassedOn { .. } => {
                self.report_admission(decision);
            }
            Action::Class { priority, step } => class::count(link, *priority, *step),
            Action::OverloadBegan {
                priority,
                running,
                waiting,
                held,
            } => self.link.log(&log::Event::OverloadBegan {
                priority: *priority,
                running: *running,
                waiting: *waiting,
                held: *held,
            }),
            Action::OverloadEnded { lasted } => self.link.log(&log::Event::OverloadEnded {
                lasted_ms: lasted.as_millis(),
            }),
            Action::Cold { left, limit } => self.link.log(&log::Event::ServerCold {
                left: class::cold_time(*left),
                limit: *limit,
            }),
            Action::Implausible { flow } => {
                link.count("carried.requests.implausible", "");
                let flow = flow_name(flow);
                self.link.log(&log::Event::AnswerImplausible { flow });
            }
            Action::Failed { flow } => {
                link.count("carried.requests.failed", "");
                let flow = flow_name(flow);
                self.link.log(&log::Event::RequestFailed { flow });
            }
            Action::Probed { flow } => {
                link.count("carried.tries", "");
                let flow = flow_name(flow);
                self.link.log(&log::Event::FlowTried { flow });
            }
            Action::Returned { flow, was_held } => {
                link.count("carried.returned", "");
                let flow = flow_name(flow);
                let was_held = *was_held;
                self.link.log(&log::Event::FlowReturned { flow, was_held });
            }
            Action::HolderAbsent { flow, agents, took } => {
                link.count("carried.searches.ended", "nobody");
                self.link.log(&log::Event::FlowUnheld {
                    flow: flow_name(flow),
                    agents: *agents,
                    took_us: took.as_micros(),
                });
            }
            Action::SearchExpired {
                flow,
                denied,
                agents,
                is_complete,
            } => {
                link.count("carried.searches.ended", "undecided");
                self.link.log(&log::Event::FlowUndecided {
                    flow: flow_name(flow),
                    denied: *denied,
                    agents: *agents,
                    is_complete: *is_complete,
                });
            }
            Action::ServerFound {
                age,
                own_age,
                knows_all_flows,
            } => self.link.log(&log::Event::ServerFound {
                age_ms: age.as_millis(),
                own_age_ms: own_age.as_millis(),
                knows_all: *knows_all_flows,
            }),
            Action::ServerEnded { flows } => {
                link.count("carried.servers.ended", "");
                let flows = *flows;
                self.link.log(&log::Event::ServerEnded { flows });
            }
            Action::Dropped(DropReason::RefusedCopy) => self.link.drop_packet("refused_copy"),
            Action::Dropped(DropReason::WaitingCopy) => self.link.drop_packet("waiting_copy"),
            Action::Dropped(DropReason::NoSlotInTime) => self.link.drop_packet("no_slot_in_time"),
            Action::Dropped(DropReason::LateOpening) => self.link.drop_packet("late_opening"),
            Action::Dropped(DropReason::ForeignReset) => self.link.drop_packet("foreign_reset"),
            Action::Dropped(DropReason::SearchLimit) => self.link.drop_packet("searches"),
            Action::Dropped(DropReason::ProbeLimit) => self.link.drop_packet("probing"),
            Action::Dropped(DropReason::Malformed) => self.link.drop_packet("malformed"),
            Action::Dropped(DropReason::OldAnnouncement) => {
                self.link.drop_packet("old_announcement");
            }
            Action::Deliver(_)
            | Action::ToCaller { .. }
            | Action::Send { .. }
            | Action::Reset { .. }
            | Action::Answered { .. } => {}
        }
    }
}

const fn refusal_label(reason: Refusal) -> &'static str {
    match reason {
        Refusal::NoSlot => "no_slot",
        Refusal::SoonerElsewhere => "sooner_elsewhere",
        Refusal::NotAccepted => "not_accepted",
        Refusal::ServerEnded => "server_ended",
    }
}

/// Returns the core's event for a frame, or `None` if a sidecar does not handle
/// this kind of frame.
///
/// # Errors
///
/// Returns the error of decoding the packet in the frame.
fn event_from(transit: Transit) -> Result<Option<Event>, packet::Error> {
    Ok(match transit {
        Transit::Open(open) => {
            let segment = packet::decode(&open.packet)?;
            Some(Event::Open { open, segment })
        }
        Transit::Forward(forward) => {
            let segment = packet::decode(&forward.packet)?;
            Some(Event::Forward { forward, segment })
        }
        Transit::Search(search) => {
            let segment = packet::decode(&search.packet)?;
            Some(Event::Search { search, segment })
        }
        Transit::Lookup(lookup) => {
            let segment = packet::decode(&lookup.packet)?;
            Some(Event::Lookup { lookup, segment })
        }
        Transit::NotHeld(denial) => Some(Event::PeerDenied(denial)),
        Transit::SearchBatch(search) => Some(Event::SearchBatch(search)),
        Transit::LookupBatch(lookup) => Some(Event::LookupBatch(lookup)),
        Transit::Probes(probes) => {
            let packets = probes.packets.into_iter();
            let packets =
                packets.filter_map(|packet| Some((packet::decode(&packet).ok()?, packet)));
            Some(Event::Probes {
                target: probes.target,
                entry: probes.entry,
                packets: packets.collect(),
            })
        }
        Transit::Answer(answer) => Some(Event::Answer(answer)),
        Transit::Held(_) | Transit::HolderAbsent(_) | Transit::Busy(_) | Transit::Report(_) => None,
    })
}
