//! What happens in a trial, as `proptest` draws it.
#![allow(missing_docs)]
use proptest::prelude::*;

pub const AGENTS: usize = 3;
pub const FLOWS: u64 = 2;
pub const REQUESTS: u64 = 4;

/// Requests from this id on are idempotent.
pub const FIRST_IDEMPOTENT: u64 = 4;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Open {
        flow: u64,
        agent: usize,
    },
    Request {
        flow: u64,
        request: u64,
        token: usize,
        agent: usize,
        deadline_ms: u32,
    },
    Cancel {
        flow: u64,
        request: u64,
        agent: usize,
    },
    Close {
        flow: u64,
        agent: usize,
    },
    Deliver(usize),
    DeliverAll,
    Duplicate(usize),
    Lose(usize),
    Finish {
        job: usize,
        result: Ending,
    },
    Wait {
        millis: u64,
    },
    /// Restarts an agent that has exited, or else this one.
    Restart(usize),
    Replace(usize),
    /// Replaces an agent and starts its successor; the message of this number
    /// on the way is lost.
    Succeed {
        agent: usize,
        lost: usize,
    },
    Stop(usize),
    Drain(usize),
    Resume(usize),
    View {
        agent: usize,
        without: usize,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum Ending {
    Completed,
    Shed,
    NotRun,
    Failed,
}

pub fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        4 => Just(Ending::Completed),
        1 => Just(Ending::Shed),
        1 => Just(Ending::NotRun),
        1 => Just(Ending::Failed),
    ]
}

pub fn request() -> impl Strategy<Value = Step> {
    (1..=FLOWS, 1..=REQUESTS, 0..4_usize, 0..AGENTS, 1..4_000_u32).prop_map(
        |(flow, request, token, agent, deadline_ms)| Step::Request {
            flow,
            request,
            token,
            agent,
            deadline_ms,
        },
    )
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..=FLOWS, 0..AGENTS).prop_map(|(flow, agent)| Step::Open { flow, agent }),
        12 => request(),
        1 => (1..=FLOWS, 1..=REQUESTS, 0..AGENTS)
            .prop_map(|(flow, request, agent)| Step::Cancel { flow, request, agent }),
        1 => (1..=FLOWS, 0..AGENTS).prop_map(|(flow, agent)| Step::Close { flow, agent }),
        10 => any::<usize>().prop_map(Step::Deliver),
        6 => Just(Step::DeliverAll),
        3 => any::<usize>().prop_map(Step::Duplicate),
        2 => any::<usize>().prop_map(Step::Lose),
        8 => (any::<usize>(), ending()).prop_map(|(job, result)| Step::Finish { job, result }),
        4 => (1..800_u64).prop_map(|millis| Step::Wait { millis }),
        2 => (0..AGENTS).prop_map(Step::Restart),
        2 => (0..AGENTS).prop_map(Step::Replace),
        2 => (0..AGENTS, 0..20_usize)
            .prop_map(|(agent, lost)| Step::Succeed { agent, lost }),
        1 => (0..AGENTS).prop_map(Step::Stop),
        1 => (0..AGENTS).prop_map(Step::Drain),
        1 => (0..AGENTS).prop_map(Step::Resume),
        2 => (0..AGENTS, 0..AGENTS).prop_map(|(agent, without)| Step::View { agent, without }),
    ]
}
