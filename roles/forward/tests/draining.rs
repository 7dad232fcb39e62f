//! Tests that no opening packet reaches a backend server that is leaving, by
//! whichever frame it comes, and that others are not refused for it.
mod fixtures;

use std::time::Duration;

use bytes::Bytes;
use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use forward::agent::Settings;
use forward::agent::State;
use proptest::prelude::*;
use wire::Segment;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Open;

/// Port of the caller in tests of a single flow.
const PORT: u16 = 9;

/// Time after an acknowledged departure from which no opening packet may reach the
/// backend server.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Returns an opening packet whose flow begins at a sequence number; `copy` counts
/// its earlier transmissions.
fn opening(port: u16, sequence: u32, copy: u32) -> Segment {
    Segment {
        sequence,
        acknowledged: copy,
        ..caller_segment(port, Kind::Open, 0)
    }
}

fn send_opening(agent: &mut Agent, now: Duration, segment: Segment) -> Vec<Action> {
    let open = Open {
        packet: encode(&segment),
        ..open_frame(&[OWN, 2])
    };
    handle(agent, now, Event::Open { open, segment })
}

fn forward_opening(agent: &mut Agent, now: Duration, segment: Segment) -> Vec<Action> {
    let mut forward = forward_frame(OWN);
    forward.packet = encode(&segment);
    handle(agent, now, Event::Forward { forward, segment })
}

fn announce(agent: &mut Agent, now: Duration, sequence: u64, state: State) {
    let announcement = announcement(OWN, 1, sequence, state);
    handle(agent, now, Event::Announcement(announcement));
}

/// Returns an agent whose server drains since 10 ms and holds a flow that began at
/// sequence number 1.
fn draining_agent() -> Agent {
    let mut agent = ready_agent(false);
    assert!(delivers(&send_opening(
        &mut agent,
        ms(1),
        opening(PORT, 1, 0)
    )));
    accept_flow(&mut agent, ms(2), PORT);
    announce(&mut agent, ms(10), 6, State::Draining);
    agent
}

/// Both ends close the flow, which stays in the table for a while.
fn close_flow(agent: &mut Agent, now: Duration) {
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(PORT, Kind::Close, 0),
    };
    handle(agent, now, event);
    let event = Event::ServerPacket {
        segment: server_segment(PORT, Kind::Close, 0),
        packet: packet(),
    };
    handle(agent, now, event);
}

/// A busy caller uses a port again within seconds.
#[test]
fn caller_that_reuses_the_port_of_a_closed_flow_is_passed_on() {
    let mut agent = draining_agent();
    close_flow(&mut agent, ms(500));
    let actions = send_opening(&mut agent, ms(3_600), opening(PORT, 7_000, 0));
    assert!(!delivers(&actions), "{actions:?}");
    assert!(passed_on(&actions).is_some(), "{actions:?}");
}

/// A flow whose end the agent has not seen stays in its table for a minute.
#[test]
fn caller_that_reuses_the_port_of_an_open_flow_is_passed_on() {
    let mut agent = draining_agent();
    let actions = send_opening(&mut agent, ms(30_000), opening(PORT, 7_000, 0));
    assert!(!delivers(&actions), "{actions:?}");
    assert!(passed_on(&actions).is_some(), "{actions:?}");
}

#[test]
fn caller_that_reuses_a_port_is_admitted_by_a_ready_server() {
    let mut agent = ready_agent(false);
    send_opening(&mut agent, ms(1), opening(PORT, 1, 0));
    accept_flow(&mut agent, ms(2), PORT);
    let actions = send_opening(&mut agent, ms(500), opening(PORT, 7_000, 0));
    assert!(delivers(&actions), "{actions:?}");
    assert_eq!(agent.running(), 1, "the earlier reservation is released");
}

/// The server never accepted the flow, and a copy was held up on its way.
#[test]
fn late_copy_is_not_delivered() {
    let mut agent = ready_agent(false);
    send_opening(&mut agent, ms(1), opening(PORT, 1, 0));
    announce(&mut agent, ms(10), 6, State::Draining);
    let actions = send_opening(&mut agent, ms(3_600), opening(PORT, 1, 2));
    assert!(!delivers(&actions), "{actions:?}");
}

/// The first copy may have been lost between the agent and the server.
#[test]
fn copy_of_an_admitted_flow_is_delivered_to_a_draining_server() {
    let mut agent = draining_agent();
    let actions = send_opening(&mut agent, ms(201), opening(PORT, 1, 1));
    assert!(delivers(&actions), "{actions:?}");
}

/// An entry forwards an opening packet to the holder of the flow that used the same
/// port before.
#[test]
fn opening_packet_forwarded_to_the_holder_of_an_earlier_flow_is_denied() {
    for sequence in [1, 7_000] {
        let mut agent = draining_agent();
        let actions = forward_opening(&mut agent, ms(3_600), opening(PORT, sequence, 0));
        assert!(!delivers(&actions), "{actions:?}");
    }
    let mut agent = draining_agent();
    let actions = forward_opening(&mut agent, ms(3_600), opening(PORT, 7_000, 0));
    assert!(reports_not_held(&actions), "{actions:?}");
}

/// An agent that was restarted probes its server with packets of unknown flows.
#[test]
fn opening_packet_is_no_probe() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    announce(&mut agent, ms(1), 6, State::Draining);
    let segment = opening(PORT, 1, 1);
    let actions = forward_opening(&mut agent, ms(10), segment);
    assert!(!delivers(&actions), "{actions:?}");
    for (time, event) in [11, 12].into_iter().zip(searches_with(segment)) {
        let actions = handle(&mut agent, ms(time), event);
        assert!(!delivers(&actions), "{actions:?}");
    }
}

/// The earlier flow from the port was passed on; the new one has packets of its
/// own.
#[test]
fn reused_port_of_a_passed_on_flow_passes_the_new_packet() {
    let mut agent = ready_agent(false);
    announce(&mut agent, ms(10), 6, State::Draining);
    send_opening(&mut agent, ms(20), opening(PORT, 1, 0));
    let actions = send_opening(&mut agent, ms(2_000), opening(PORT, 7_000, 0));
    let passed = passed_on(&actions).expect("the flow is passed on");
    assert_eq!(decode(&passed.packet).sequence, 7_000);
}

/// The call that announces the end overtook the last announcement.
#[test]
fn late_announcement_does_not_revive_a_server_that_has_ended() {
    let mut agent = ready_agent(false);
    handle(&mut agent, ms(10), Event::ServerEnded);
    announce(&mut agent, ms(20), 9, State::Ready);
    let actions = send_opening(&mut agent, ms(30), opening(PORT, 1, 0));
    assert!(!delivers(&actions), "{actions:?}");
}

/// The agent was restarted while its server was leaving.
#[test]
fn server_that_ends_before_it_announces_itself_gets_no_flows() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    handle(&mut agent, ms(10), Event::ServerEnded);
    let actions = send_opening(&mut agent, ms(20), opening(PORT, 1, 0));
    assert!(!delivers(&actions), "{actions:?}");
    assert!(agent.lacks_server(ms(20)));
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum Step {
    /// An opening packet, in a frame of its own or as a packet of an open flow. The
    /// port is one of few; `flow` selects its sequence number.
    Opening {
        port: u16,
        flow: u32,
        copy: u32,
        is_forwarded: bool,
    },
    /// The server accepts the flow of a port.
    Accept(u16),
    /// Both ends close the flow of the last port.
    Close,
    /// The agent is restarted.
    Restart,
    /// The server begins to leave.
    Drain,
    /// An announcement that was held up arrives.
    LateAnnouncement(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (PORT..PORT + 3, 0..3_u32, 0..3_u32, any::<bool>()).prop_map(
            |(port, flow, copy, is_forwarded)| Step::Opening { port, flow, copy, is_forwarded },
        ),
        3 => (PORT..PORT + 3).prop_map(Step::Accept),
        2 => Just(Step::Close),
        1 => Just(Step::Restart),
        1 => Just(Step::Drain),
        1 => (1..40_u64).prop_map(Step::LateAnnouncement),
    ]
}

/// An agent and its server, which announces itself every half second.
struct Run {
    agent: Agent,
    now: Duration,
    next_announcement: Duration,
    sequence: u64,
    drained_at: Option<Duration>,
    /// Time from which the agent knows the state of its server.
    informed_at: Duration,
    /// Highest sequence number of an opening packet of each port so far.
    newest: u32,
}

impl Run {
    fn new() -> Self {
        Self {
            agent: ready_agent(false),
            now: ms(0),
            next_announcement: ms(500),
            sequence: 50,
            drained_at: None,
            informed_at: ms(0),
            newest: 0,
        }
    }

    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while self.next_announcement <= until {
            self.now = self.next_announcement;
            self.next_announcement += ms(500);
            self.announce();
        }
        self.now = until;
        handle(&mut self.agent, self.now, Event::Tick);
    }

    fn announce(&mut self) {
        self.sequence += 1;
        let state = match self.drained_at {
            Some(_) => State::Draining,
            None => State::Ready,
        };
        announce(&mut self.agent, self.now, self.sequence, state);
    }

    /// Plays a step; returns the opening packets that reached the server.
    fn play(&mut self, step: &Step) -> Vec<Segment> {
        let actions = match *step {
            Step::Opening {
                port,
                flow,
                copy,
                is_forwarded,
            } => {
                let segment = opening(port, 1 + flow * 10_000, copy);
                if is_forwarded {
                    forward_opening(&mut self.agent, self.now, segment)
                } else {
                    send_opening(&mut self.agent, self.now, segment)
                }
            }
            Step::Accept(port) => {
                accept_flow(&mut self.agent, self.now, port);
                Vec::new()
            }
            Step::Close => {
                close_flow(&mut self.agent, self.now);
                Vec::new()
            }
            Step::Restart => {
                let settings = Settings::default();
                self.informed_at = self.now + settings.assumed_ready_time;
                self.agent = Agent::new(settings, hop(OWN), true, self.now);
                Vec::new()
            }
            Step::Drain => {
                self.drained_at.get_or_insert(self.now);
                self.announce();
                Vec::new()
            }
            Step::LateAnnouncement(sequence) if sequence < self.sequence => {
                announce(&mut self.agent, self.now, sequence, State::Ready);
                Vec::new()
            }
            Step::LateAnnouncement(_) => Vec::new(),
        };
        delivered_openings(&actions)
    }

    /// Opens a flow that never existed before at a server that is ready, idle and
    /// known to the agent.
    fn opens_new_flow(&mut self) -> bool {
        self.newest += 1;
        let sequence = 1_000_000 + self.newest;
        let actions = send_opening(&mut self.agent, self.now, opening(PORT, sequence, 0));
        !delivered_openings(&actions).is_empty()
    }
}

fn delivered_openings(actions: &[Action]) -> Vec<Segment> {
    let delivered = actions.iter().filter_map(|action| match action {
        Action::Deliver(packet) if packet != &Bytes::from_static(b"packet") => Some(decode(packet)),
        _ => None,
    });
    delivered
        .filter(|segment| segment.kind == Kind::Open)
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// From the drain time after an acknowledged departure on, no opening packet
    /// reaches the server; until the departure, a new flow is admitted by a server
    /// with free slots.
    #[test]
    fn no_opening_packet_reaches_a_server_that_has_left(
        steps in prop::collection::vec((step(), 0..700_u64), 1..60),
    ) {
        let mut run = Run::new();
        for (step, pause) in steps {
            let delivered = run.play(&step);
            let is_over = run
                .drained_at
                .is_some_and(|at| run.now >= at.max(run.informed_at) + DRAIN_TIME);
            prop_assert!(!is_over || delivered.is_empty(), "{:?} at {:?}", delivered, run.now);
            let is_ready = run.drained_at.is_none() && run.now >= run.informed_at;
            // The server reacts within the reaction timeout, or counts as mute.
            let is_reacting = run.agent.closed_reason(run.now).is_none();
            if is_ready && is_reacting && run.agent.running() == 0 {
                prop_assert!(run.opens_new_flow(), "refused at {:?}", run.now);
            }
            run.advance(ms(pause));
        }
    }
}

/// Returns the frames in which an agent denies a flow to its entry.
#[test]
fn denial_of_an_opening_packet_carries_no_packet() {
    let mut agent = draining_agent();
    let actions = forward_opening(&mut agent, ms(3_600), opening(PORT, 7_000, 0));
    let denial = actions.iter().find_map(|action| match action {
        Action::Send {
            transit: Transit::NotHeld(denial),
            ..
        } => Some(denial),
        _ => None,
    });
    // A search would deliver it to other servers without asking for a bid.
    assert_eq!(denial.map(|denial| denial.packet.len()), Some(0));
}
