//! A backend server: runs requests over HTTP and records them in a ledger.
//!
//! | request | answer |
//! |---|---|
//! | `POST /run` | 200 with the answer; not run: 503 (shed) or 504 (expired) |
//! | `POST /drain` | 204; new requests are refused from then on |
//! | `GET /health` | 200, or 503 while draining |
//! | `GET /load` | active and queued requests, slots, draining, as JSON |
//! | `GET /ledger` | [`Ledger`] as JSON |
//!
//! `POST /run` reads the headers `request-id`, `deadline-ms` and `idempotent`
//! (`true` or `false`), and repeats `exchange-id` in its answer. Closing a connection
//! cancels its request. A 503 carries the header `retry-after`.
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
/// Maximum time to wait for running requests on SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `standin backend` until SIGTERM or SIGINT.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    options::exit_code(run(args))
}

fn run(args: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let mut flags = Options::new();
    flags.optopt("", "listen", "TCP address", "ADDRESS");
    flags.optopt("", "service", "service name, echoed in answers", "NAME");
    flags.optopt("", "slots", "requests that run concurrently (4)", "COUNT");
    flags.optopt(
        "",
        "queue",
        "requests that may wait for a slot (8)",
        "COUNT",
    );
    flags.optopt("", "time-ms", "mean run time (20)", "MS");
    flags.optopt(
        "",
        "spread",
        "largest deviation from the mean run time (50)",
        "PERCENT",
    );
    flags.optopt("", "cold-ms", "duration of the cold start (0)", "MS");
    flags.optopt(
        "",
        "cold-factor",
        "factor on the run time at the beginning of the cold start (4)",
        "FACTOR",
    );
    flags.optopt("", "answer", "minimum size of an answer (0)", "BYTES");
    flags.optopt("", "lag-ms", "delay of health and load reports (0)", "MS");
    flags.optflag("", "mislead", "always report an idle, healthy server");
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
