//! Stand-ins of the platform, and the cases that are played with them:
//! `standin CASE RECORD TROUBLE`; with TROUBLE 0, without the disruption.
mod client;
mod json;
mod moved;
mod packet;
mod process;
mod record;
mod replaced;
mod store;
mod system;
mod target;
mod young;

use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use target::FlowKey;

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (case, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = words.next().is_none_or(|value| value != "0");
    process::end_on_signals();
    let outcome = match case.as_str() {
        "moved" => moved::run(&path, trouble),
        "young" => young::run(&path, trouble),
        "replaced" => replaced::run(&path, trouble),
        other => Outcome::CouldNotRun(format!("no case is called {other:?}")),
    };
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}

pub fn random() -> u32 {
    RandomState::new().build_hasher().finish() as u32
}

pub fn unix_millis() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_millis() as u64)
}

pub fn flow_name(flow: &FlowKey) -> String {
    format!("{}:{}>{}:{}", flow.0, flow.1, flow.2, flow.3)
}

/// Sends an HTTP call; returns true if a 2xx response arrives within a second.
pub fn post(to: SocketAddr, path: &str, body: &str) -> bool {
    target::post(to, path, body)
}
