//! A backend server: runs requests over HTTP and keeps a ledger of them.
//!
//! | request | answer |
//! |---|---|
//! | `POST /run` | 200 with the answer; 503 with `retry-after`: not run |
//! | `POST /drain` | 204; new requests are then refused |
//! | `GET /health` | 200, or 503 while draining |
//! | `GET /load` | active and queued requests and slots, as JSON |
//! | `GET /ledger` | [`Ledger`] as JSON |
//!
//! `POST /run` reads the headers `request-id`, `deadline-ms` and `idempotent`
//! (`true` or `false`). A connection that closes cancels what it runs.
mod http;
mod ledger;
mod model;
mod worker;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use getopts::Options;
use smol::LocalExecutor;

use crate::options;
use crate::stop;

pub use ledger::Ledger;
pub use ledger::Run;
pub use model::Settings;
pub use model::answer;
pub use model::request_name;
pub use worker::Job;
pub use worker::Outcome;
pub use worker::Worker;

const BRIEF: &str = "Usage: standin backend --listen ADDRESS --service NAME [FLAGS]";
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the backend server until SIGTERM.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    options::exit_code(run(args))
}

fn run(args: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let mut flags = Options::new();
    flags.optopt("", "listen", "TCP address", "ADDRESS");
    flags.optopt("", "service", "name echoed in answers", "NAME");
    flags.optopt("", "slots", "requests run at a time (4)", "COUNT");
    flags.optopt("", "queue", "requests that may wait (8)", "COUNT");
    flags.optopt("", "time-ms", "mean run time (20)", "MS");
    flags.optopt("", "spread", "deviation from the mean (50)", "PERCENT");
    flags.optopt("", "cold-ms", "length of the cold start (0)", "MS");
    flags.optopt("", "cold-factor", "slowdown when cold (4)", "FACTOR");
    flags.optopt("", "answer", "smallest answer size (0)", "BYTES");
    flags.optopt("", "lag-ms", "age of health and load reports (0)", "MS");
    flags.optflag("", "mislead", "always report idle and healthy");
    let Some(matches) = options::parse(&mut flags, BRIEF, args)? else {
        return Ok(());
    };
    let default = Settings::default();
    let listen: SocketAddr = options::required(&matches, "listen")?;
    let settings = Settings {
        service: options::required(&matches, "service")?,
        slots: options::optional(&matches, "slots", default.slots)?,
        queue_limit: options::optional(&matches, "queue", default.queue_limit)?,
        mean_time: Duration::from_millis(options::optional(&matches, "time-ms", 20)?),
        spread_percent: options::optional(&matches, "spread", default.spread_percent)?,
        cold_start: Duration::from_millis(options::optional(&matches, "cold-ms", 0)?),
        cold_factor: options::optional(&matches, "cold-factor", default.cold_factor)?,
        min_answer_bytes: options::optional(&matches, "answer", default.min_answer_bytes)?,
        report_age: Duration::from_millis(options::optional(&matches, "lag-ms", 0)?),
        mislead: matches.opt_present("mislead"),
    };
    serve(listen, settings)?;
    Ok(())
}

fn serve(listen: SocketAddr, settings: Settings) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let worker = Rc::new(Worker::new(settings));
    smol::block_on(executor.run(async {
        let listener = Async::<TcpListener>::bind(listen)?;
        let accepting = executor.spawn(http::accept(
            listener,
            Rc::clone(&executor),
            Rc::clone(&worker),
        ));
        stop::requested().await?;
        worker.drain();
        worker.wait_idle(STOP_TIMEOUT).await;
        accepting.cancel().await;
        Ok(())
    }))
}
