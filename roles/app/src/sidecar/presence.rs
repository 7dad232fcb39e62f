//! Finds out whether a process listens at the backend server's address.
//!
//! A host can come back from a loss of power without its server. Gateways keep flows
//! open for as long as such a server may hold them.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use forward::agent::Event;
use futures_lite::FutureExt;
use smol::net::TcpStream;

use crate::sidecar::traffic::Traffic;

/// Pause between two attempts to connect. A server that runs announces itself at about
/// this interval while its announcements are not answered.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time to establish a connection within the host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of attempts. A server that has not been started by then is announced
/// as gone, and announces itself once it starts.
const MAX_ATTEMPTS: u32 = 21;

/// Connects to the backend server until it announces itself, and tells the core when the
/// connection is refused. If it is, goes on until one is made, which shows that the server
/// has started since.
pub async fn watch(backend: SocketAddr, traffic: Arc<Traffic>) {
    for attempt in 0..MAX_ATTEMPTS {
        // The first shows whether the server starts after this process.
        if attempt > 0 {
            Timer::after(ATTEMPT_INTERVAL).await;
        }
        if !traffic.awaits_server() {
            return;
        }
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match TcpStream::connect(backend).or(timeout).await {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                traffic.handle(Event::ServerAbsent);
            }
            // A server that accepts connections may hold flows.
            Ok(_) => return traffic.handle(Event::ServerListening),
            Err(error) => log::debug!("cannot connect to the backend server: {error}"),
        }
    }
}
