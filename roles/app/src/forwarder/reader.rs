//! Threads that each read one socket.
use std::io;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use net::Port;
use net::port::Received;

/// Read timeout of the sockets, after which a reading thread checks deadlines.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(100);

/// Size of the receive buffer in bytes, larger than any packet.
const BUFFER_BYTES: usize = 2 * 1024;

/// Starts a thread that passes each datagram of a socket to `on_receive`.
///
/// # Errors
///
/// Returns the operating system's error if the thread cannot be started.
pub fn spawn_packets(
    name: &str,
    socket: UdpSocket,
    mut on_receive: impl FnMut(&mut [u8]) + Send + 'static,
) -> io::Result<()> {
    let read = move || {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            match socket.recv_from(&mut buffer) {
                Ok((length, _)) => on_receive(&mut buffer[..length]),
                Err(error) if is_transient(&error) => {}
                Err(error) => log::warn!("cannot read from a socket: {error}"),
            }
        }
    };
    spawn(name, read)
}

/// Starts a thread that passes each frame of a port to `on_receive`, or `None` if
/// none arrived within the port's read timeout.
///
/// # Errors
///
/// Returns the operating system's error if the thread cannot be started.
pub fn spawn_frames(
    name: &str,
    port: &Port,
    mut on_receive: impl FnMut(Option<Received>) + Send + 'static,
) -> io::Result<()> {
    let mut receiver = port.receiver();
    let read = move || {
        loop {
            match receiver.try_receive() {
                Ok(Some(frame)) => on_receive(Some(frame)),
                // The port counts datagrams that it could not decode.
                Ok(None) => {}
                Err(error) if is_transient(&error) => on_receive(None),
                Err(error) => log::warn!("cannot read from the port for frames: {error}"),
            }
        }
    };
    spawn(name, read)
}

/// Starts a thread that runs `work`.
///
/// # Errors
///
/// Returns the operating system's error if the thread cannot be started.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(work)?;
    Ok(())
}

/// Returns true if the read timed out or was interrupted, or if an earlier
/// datagram was sent to a closed port.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
