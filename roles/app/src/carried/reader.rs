//! Threads that read one socket each.
use std::io;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use net::Port;
use net::port::Received;

/// Longest wait of a reading thread, after which it looks at what is due.
pub const WAIT: Duration = Duration::from_millis(100);

/// Room for one packet, larger than any of them.
const BUFFER_BYTES: usize = 2 * 1024;

/// Reads the datagrams of a socket on a thread of its own.
///
/// # Errors
///
/// The operating system's error where no thread can be started.
pub fn spawn_packets(
    name: &str,
    socket: UdpSocket,
    mut handle: impl FnMut(&mut [u8]) + Send + 'static,
) -> io::Result<()> {
    let read = move || {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            match socket.recv_from(&mut buffer) {
                Ok((length, _)) => handle(&mut buffer[..length]),
                Err(error) if is_quiet(&error) => {}
                Err(error) => log::warn!("a socket cannot be read: {error}"),
            }
        }
    };
    spawn(name, read)
}

/// Reads the frames of a port on a thread of its own, which is told `None` where
/// none arrived for a while.
///
/// # Errors
///
/// The operating system's error where no thread can be started.
pub fn spawn_frames(
    name: &str,
    port: &Port,
    mut handle: impl FnMut(Option<Received>) + Send + 'static,
) -> io::Result<()> {
    let mut receiver = port.receiver();
    let read = move || {
        loop {
            match receiver.try_receive() {
                Ok(Some(frame)) => handle(Some(frame)),
                // What could not be read is counted by the port.
                Ok(None) => {}
                Err(error) if is_quiet(&error) => handle(None),
                Err(error) => log::warn!("the port for frames cannot be read: {error}"),
            }
        }
    };
    spawn(name, read)
}

fn spawn(name: &str, read: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(read)?;
    Ok(())
}

/// Whether nothing arrived in time, or an earlier datagram met a closed port.
fn is_quiet(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
