//! In-memory stand-in for the platform's key-value store. It serves Consul's
//! HTTP protocol for keys, sessions and transactions, and injects faults.
//!
//! `PUT /fault?NAME=VALUE&...` sets faults (see [`fault::Faults`]), `PUT /lapse`
//! ends all sessions, and `GET /calls` returns the numbers of calls received.
pub mod answer;
pub mod call;
pub mod fault;
mod query;
mod read;
pub mod route;
pub mod session;
pub mod state;
mod write;

use std::error::Error;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use futures_lite::FutureExt;
use getopts::Options;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Executor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::options;
use crate::stop;

pub use route::Platform;

const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8500);

/// Runs `standin platform` until SIGTERM or SIGINT.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    options::exit_code(run(args))
}

fn run(args: &[String]) -> Result<(), Box<dyn Error>> {
    let mut flags = Options::new();
    flags.optopt("", "listen", "TCP address (127.0.0.1:8500)", "ADDR");
    let Some(matches) = options::parse(&mut flags, "Usage: standin platform [FLAGS]", args)? else {
        return Ok(());
    };
    let address: SocketAddr = options::optional(&matches, "listen", DEFAULT_LISTEN)?;
    let executor = Arc::new(Executor::new());
    let serve = async {
        let listener = TcpListener::bind(address).await?;
        serve(listener, Platform::default(), executor.clone()).await
    };
    smol::block_on(executor.run(serve.or(stop::requested())))?;
    Ok(())
}

/// Serves the protocol on a listener until accepting fails.
///
/// # Errors
///
/// The error of the listener that ended accepting.
pub async fn serve(
    listener: TcpListener,
    platform: Platform,
    executor: Arc<Executor<'static>>,
) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        executor
            .spawn(connection(stream, platform.clone()))
            .detach();
    }
}

async fn connection(stream: TcpStream, platform: Platform) {
    let service = service_fn(move |request| {
        let platform = platform.clone();
        async move { platform.answer(request).await }
    });
    // An error means that the client disconnected or that a fault dropped the
    // answer.
    let _ = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}
