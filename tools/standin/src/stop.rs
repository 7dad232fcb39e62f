//! Waits for SIGTERM or SIGINT.
use std::io::Error;
use std::os::unix::net::UnixStream;

use async_io::Async;
use futures_lite::AsyncReadExt;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// The error of the operating system if the signals cannot be handled.
pub async fn requested() -> Result<(), Error> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in [SIGTERM, SIGINT] {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    let mut reader = Async::new(reader)?;
    let mut byte = [0];
    reader.read_exact(&mut byte).await
}
