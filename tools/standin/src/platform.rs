//! Stands in for the platform's key-value service: Consul's published HTTP
//! protocol for keys, sessions and transactions, in memory, with faults on
//! demand.
//!
//! `PUT /fault?NAME=VALUE&...` sets faults (see [`fault::Faults`]), `PUT /lapse`
//! ends all sessions, and `GET /calls` counts the calls.
pub mod answer;
pub mod call;
pub mod fault;
pub mod route;
pub mod session;
pub mod state;

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use getopts::Options;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Executor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

pub use route::Platform;

const DEFAULT_LISTEN: &str = "127.0.0.1:8500";

/// Exit code for flags that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Runs the stand-in until it is killed.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin platform: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(args: &[String]) -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "listen", "TCP address to serve on", "ADDRESS");
    options.optflag("", "help", "print this help");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: standin platform [FLAGS]"));
        return Ok(());
    }
    let listen = matches.opt_str("listen");
    let address: SocketAddr = listen.as_deref().unwrap_or(DEFAULT_LISTEN).parse()?;
    let executor = Arc::new(Executor::new());
    let serve = async {
        let listener = TcpListener::bind(address).await?;
        serve(listener, Platform::default(), executor.clone()).await
    };
    Ok(smol::block_on(executor.run(serve))?)
}

/// Serves the protocol on a listener until accepting fails.
///
/// # Errors
///
/// The error of the listener.
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
    // An error here is a client that left, or an answer lost on purpose.
    let _ = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}
