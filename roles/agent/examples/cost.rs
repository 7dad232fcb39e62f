//! Measures the agent's state machine: memory per flow and record, and time of
//! an open, a request with its answer, a repeated request and a tick, for
//! different numbers of flows held.
//!
//! Run with `cargo run --release -p agent --example cost`.
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use agent::Action;
use agent::Agent;
use agent::Completion;
use agent::Event;
use agent::Settings;
use agent::View;
use agent::view::Service;
use bytes::Bytes;
use wire::FlowKey;
use wire::Frame;
use wire::Hop;
use wire::Relay;
use wire::Target;
use wire::Token;
use wire::caller::Open;
use wire::caller::Packet;
use wire::caller::Request;
use wire::caller::packet::Body;
use wire::target::State;

const TARGETS: u64 = 7;
const REQUESTS: u64 = 100_000;

struct Bench {
    agent: Agent,
    target: Target,
    now: Duration,
    actions: Vec<Action>,
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("flows  B/flow  open ns  request ns  B/record  repeat ns  tick ns");
    for flows in [1_000, 100_000, 500_000] {
        let mut bench = Bench::new()?;
        let open = bench.time(flows, |bench, flow| bench.relay(flow, open()));
        let flow_bytes = bench.agent.status().flow_bytes as u64 / flows;
        let request = bench.time(REQUESTS, |bench, id| bench.serve(id % flows + 1, id));
        let status = bench.agent.status();
        let record_bytes = status.record_bytes / status.records.max(1);
        let repeat = bench.time(REQUESTS, |bench, id| bench.send_request(id % flows + 1, id));
        let tick = bench.time(REQUESTS, |bench, _| bench.event(Event::Tick));
        println!(
            "{flows:>6} {flow_bytes:>6} {open:>8} {request:>11} {record_bytes:>9} {repeat:>10} {tick:>8}"
        );
    }
    Ok(())
}

impl Bench {
    fn new() -> Result<Self, Box<dyn Error>> {
        let now = Duration::from_secs(1);
        let targets: Vec<Target> = (1..=TARGETS).map(target).collect::<Result<_, _>>()?;
        let own = targets[0].clone();
        let mut bench = Self {
            agent: Agent::new(Settings::default(), own.clone(), 1, now),
            target: own,
            now: now + Duration::from_secs(10),
            actions: Vec::new(),
        };
        let service = Service::default();
        bench.event(Event::View(View { targets, service }));
        Ok(bench)
    }

    /// Returns the mean time of a step in nanoseconds.
    fn time(&mut self, count: u64, mut step: impl FnMut(&mut Self, u64)) -> u64 {
        let start = Instant::now();
        for number in 1..=count {
            step(self, number);
        }
        u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX) / count
    }

    fn event(&mut self, event: Event) {
        self.now += Duration::from_micros(1);
        self.actions.clear();
        self.agent.handle(self.now, event, &mut self.actions);
    }

    fn relay(&mut self, flow: FlowKey, body: Body) {
        let hop = Hop {
            target: self.target.id,
            address: self.target.address,
        };
        let relay = Relay {
            caller: self.target.address,
            service: self.target.service,
            entry: self.target.address,
            revision: 1,
            home: hop,
            path: vec![hop],
            position: 0,
            bids: Vec::new(),
            is_settled: false,
            packet: Packet::new(flow, body).to_bytes(),
        };
        let from = self.target.address;
        let frame = Frame::Relay(relay);
        self.event(Event::Frame { from, frame });
    }

    fn send_request(&mut self, flow: FlowKey, request: u64) {
        let token = Token {
            target: self.target.id,
            incarnation: self.target.incarnation,
        };
        let body = Body::Request(Request {
            request,
            holder: token.to_bytes().to_vec().into(),
            idempotent: false,
            deadline_ms: 1_000,
            attempt: 0,
            payload: Bytes::from_static(b"who is on duty now"),
        });
        self.relay(flow, body);
    }

    fn serve(&mut self, flow: FlowKey, request: u64) {
        self.send_request(flow, request);
        let job = self.actions.iter().find_map(|action| match action {
            Action::Run(job) => Some(job.id),
            _ => None,
        });
        if let Some(job) = job {
            let result = Completion::Completed(Bytes::from_static(b"the second crew"));
            self.event(Event::Finished { job, result });
        }
    }
}

fn open() -> Body {
    Body::Open(Open { attempt: 0 })
}

fn target(id: u64) -> Result<Target, Box<dyn Error>> {
    let host = u8::try_from(id)?;
    Ok(Target {
        id,
        service: SocketAddr::from(([192, 0, 2, 1], 53)),
        address: SocketAddr::from(([10, 0, 0, host], 7100)),
        control: SocketAddr::from(([10, 0, 0, host], 7200)),
        zone: 1,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 4,
        state: State::Ready,
    })
}
