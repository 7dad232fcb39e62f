//! Replays the recorded traces in `traces/` and checks their expected outcomes.
mod cluster;

use std::fs;
use std::path::Path;
use std::time::Duration;

use agent::Completion;
use agent::Event;
use agent::view::Service;
use bytes::Bytes;
use cluster::Cluster;
use wire::Token;
use wire::caller::Packet;
use wire::caller::packet::Body;
use wire::target::State;

/// A trace being replayed.
struct Replay {
    cluster: Cluster,
    origin: Duration,
    line: String,
}

#[test]
fn traces_have_their_expected_outcomes() {
    let traces = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut count = 0;
    for entry in fs::read_dir(traces).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "txt") {
            replay(&path);
            count += 1;
        }
    }
    assert!(count >= 8);
}

fn replay(path: &Path) {
    let text = fs::read_to_string(path).unwrap();
    let mut lines = text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    let mut replay = start(lines.next().expect("a trace should have a header"));
    for line in lines {
        replay.line = format!("{}: {line}", path.display());
        let mut words = line.split_whitespace();
        let millis: u64 = words.next().unwrap().parse().unwrap();
        replay.wait_until(Duration::from_millis(millis));
        replay.run_line(&words.collect::<Vec<_>>());
    }
}

fn start(header: &str) -> Replay {
    let words: Vec<&str> = header.split_whitespace().collect();
    let ["agents", count, binding, "slots", slots] = words[..] else {
        panic!("the header should be: agents COUNT bound|independent slots COUNT");
    };
    let mut settings = cluster::settings();
    settings.gate.slots = slots.parse().unwrap();
    let service = match binding {
        "independent" => cluster::independent(),
        _ => Service::default(),
    };
    let cluster = Cluster::new(count.parse().unwrap(), settings, service);
    Replay {
        origin: cluster.now,
        cluster,
        line: String::new(),
    }
}

impl Replay {
    fn wait_until(&mut self, time: Duration) {
        let time = (self.origin + time).saturating_sub(self.cluster.now);
        self.cluster.advance_time(time);
    }

    fn run_line(&mut self, words: &[&str]) {
        match words {
            ["open", flow, "via", path] => self.send(&cluster::open(number(flow)), path),
            [
                "request",
                flow,
                id,
                "token",
                token,
                "via",
                path,
                options @ ..,
            ] => {
                let packet = request(number(flow), number(id), token, options);
                self.send(&packet, path);
            }
            ["cancel", flow, id, "token", token, "via", path] => {
                let packet = cluster::cancel(number(flow), number(id), read_token(token));
                self.send(&packet, path);
            }
            ["close", flow, "token", token, "via", path] => {
                self.send(&cluster::close(number(flow), read_token(token)), path);
            }
            ["finish", id, result @ ..] => self.finish(number(id), result),
            ["freeze", agent] => self.cluster.freeze(index(agent)),
            ["thaw", agent] => self.cluster.thaw(index(agent)),
            ["restart", agent] => self.cluster.restart(index(agent)),
            ["replace", agent] => self.send_event(agent, Event::Replace),
            ["stop", agent] => self.send_event(agent, Event::Stop),
            ["drain", agent] => self.send_event(agent, Event::Drain),
            ["left", agent] => self.cluster.remove_from_views(index(agent)),
            ["views"] => self.cluster.update_views(),
            ["view", agent, "without", other] => {
                let mut targets = self.cluster.targets.clone();
                targets.remove(index(other));
                self.cluster.update_view_of(index(agent), targets);
                self.cluster.deliver_all();
            }
            ["expect", outcome @ ..] => self.expect(outcome),
            _ => panic!("{}: unknown command", self.line),
        }
    }

    fn send(&mut self, packet: &Packet, path: &str) {
        let path: Vec<usize> = path.split(',').map(index).collect();
        self.cluster.send_along(packet, &path);
    }

    fn send_event(&mut self, agent: &str, event: Event) {
        self.cluster.event(index(agent), event);
        self.cluster.deliver_all();
    }

    fn finish(&mut self, request: u64, result: &[&str]) {
        let running = &mut self.cluster.running;
        let position = running
            .iter()
            .position(|it| it.job.request == request)
            .unwrap_or_else(|| panic!("{}: the request should be running", self.line));
        running.swap(0, position);
        self.cluster.finish(match result {
            ["answered", text] => Completion::Completed(Bytes::from((*text).to_owned())),
            ["shed"] => Completion::Shed {
                retry_after: Duration::from_millis(100),
            },
            ["refused"] => Completion::Failed {
                may_have_run: false,
            },
            _ => Completion::Failed { may_have_run: true },
        });
    }

    fn expect(&mut self, outcome: &[&str]) {
        let line = &self.line;
        match outcome {
            ["opened", token] => {
                assert_eq!(
                    self.cluster.take_opened(),
                    Some(read_token(token)),
                    "{line}"
                );
            }
            ["answer", id, text] => {
                let answer = self.cluster.take_answer(number(id));
                assert_eq!(answer.as_deref(), Some(text.as_bytes()), "{line}");
            }
            ["refused", id, reason, outcome] => {
                let refusal = self.cluster.take_refusal();
                let refusal = refusal.unwrap_or_else(|| panic!("{line}: a refusal should be sent"));
                assert_eq!(refusal.request, number(id), "{line}");
                assert_eq!(format!("{:?}", refusal.reason()), *reason, "{line}");
                assert_eq!(format!("{:?}", refusal.outcome()), *outcome, "{line}");
            }
            ["closed"] => {
                let replies = std::mem::take(&mut self.cluster.replies);
                let is_closed = |packet: &Packet| matches!(packet.body, Some(Body::Closed(_)));
                assert!(replies.iter().any(is_closed), "{line}");
            }
            ["silence"] => assert!(self.cluster.replies.is_empty(), "{line}"),
            ["runs", count] => {
                assert_eq!(self.cluster.runs.len() as u64, number(count), "{line}");
            }
            ["exited", agent] => {
                assert!(self.cluster.exited.contains(&index(agent)), "{line}");
                assert_eq!(
                    self.cluster.targets[index(agent)].state,
                    State::Left,
                    "{line}"
                );
            }
            _ => panic!("{line}: unknown expectation"),
        }
    }
}

fn request(flow: u64, id: u64, token: &str, options: &[&str]) -> Packet {
    let mut packet = cluster::idempotent(flow, id);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.idempotent = options.contains(&"idempotent");
        if token != "none" {
            request.holder = read_token(token).to_bytes().to_vec().into();
        }
        if let ["deadline", millis, ..] = options {
            request.deadline_ms = millis.parse().unwrap();
        }
    }
    packet
}

/// Parses `AGENT/INCARNATION`.
fn read_token(text: &str) -> Token {
    let (agent, incarnation) = text.split_once('/').unwrap();
    Token {
        target: cluster::target(index(agent)).id,
        incarnation: number(incarnation),
    }
}

fn number(text: &str) -> u64 {
    text.parse().unwrap()
}

fn index(text: &str) -> usize {
    text.parse().unwrap()
}
