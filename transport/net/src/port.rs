//! A UDP socket for authenticated frames.
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Async;
use socket2::Domain;
use socket2::Type;
use wire::Frame;
use wire::Seal;
use wire::ServiceAddress;
use wire::frame::MAX_DATAGRAM_BYTES;

/// Size of the socket's receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Longest time that a blocking send waits for room in the send buffer.
const SEND_TIMEOUT: Duration = Duration::from_millis(1);

/// A UDP socket that sends and receives authenticated frames. Clones share the
/// socket and the counters.
#[derive(Clone)]
pub struct Port {
    socket: Socket,
    seal: Arc<Seal>,
    counters: Arc<Counters>,
}

/// The UDP socket of a port, by how its reader waits for datagrams.
#[derive(Clone)]
enum Socket {
    /// Non-blocking; the reactor wakes the reader.
    Async(Arc<Async<UdpSocket>>),
    /// Blocking; the read itself waits, up to the socket's timeout.
    Blocking(Arc<UdpSocket>),
}

/// Reader of a port's frames with its own buffer; each thread has one.
pub struct Receiver {
    port: Port,
    buffer: Box<[u8]>,
}

/// Counters of a port: datagrams received, sent and refused, by reason.
#[derive(Default)]
pub struct Counters {
    /// Datagrams received, including refused ones.
    pub received: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Datagrams refused because they were shorter than header and tag.
    pub truncated: AtomicU64,
    /// Datagrams refused for their version.
    pub version: AtomicU64,
    /// Datagrams refused because they were sealed for another purpose.
    pub purpose: AtomicU64,
    /// Datagrams refused because their key is not configured.
    pub unknown_key: AtomicU64,
    /// Datagrams refused because their tag did not match.
    pub bad_tag: AtomicU64,
    /// Datagrams refused because their frame could not be decoded.
    pub malformed: AtomicU64,
    /// Frames that could not be encoded or that the kernel did not accept.
    pub send_failed: AtomicU64,
}

/// A counter with its metric name.
pub struct Counter<'a> {
    /// Metric name, followed by the reason where there is one.
    pub name: &'static str,
    /// The counter.
    pub value: &'a AtomicU64,
}

/// A frame and the process that sent it.
pub struct Received {
    /// UDP address of the sender.
    pub from: SocketAddr,
    /// The frame.
    pub frame: Frame,
}

impl Socket {
    fn udp(&self) -> &UdpSocket {
        match self {
            Self::Async(socket) => socket.get_ref(),
            Self::Blocking(socket) => socket,
        }
    }

    async fn readable(&self) -> io::Result<()> {
        match self {
            Self::Async(socket) => socket.readable().await,
            // The next read blocks, up to the socket's timeout.
            Self::Blocking(_) => Ok(()),
        }
    }
}

impl Port {
    /// Binds a non-blocking socket to `address`.
    ///
    /// # Errors
    ///
    /// The operating system's error where the address cannot be bound.
    pub fn bind(address: SocketAddr, seal: Arc<Seal>) -> io::Result<Self> {
        let socket = open_socket(address)?;
        socket.bind(&address.into())?;
        Ok(Self {
            socket: Socket::Async(Arc::new(Async::new(socket.into())?)),
            seal,
            counters: Arc::default(),
        })
    }

    /// Binds a blocking socket to `address`, for a thread that only reads from
    /// it: one system call per datagram. A read times out after `wait`.
    ///
    /// # Errors
    ///
    /// The operating system's error where the address cannot be bound.
    pub fn bind_blocking(address: SocketAddr, seal: Arc<Seal>, wait: Duration) -> io::Result<Self> {
        Ok(Self {
            socket: Socket::Blocking(Arc::new(bind_blocking_socket(address, wait)?)),
            seal,
            counters: Arc::default(),
        })
    }

    /// Returns the address that the port is bound to.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.udp().local_addr()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a reader of the port's frames.
    #[must_use]
    pub fn receiver(&self) -> Receiver {
        Receiver {
            port: self.clone(),
            buffer: vec![0; MAX_DATAGRAM_BYTES].into_boxed_slice(),
        }
    }

    /// Sends a frame. A frame that the kernel does not accept is dropped and
    /// counted; protocols recover from it as from loss on the network.
    pub fn send(&self, to: SocketAddr, frame: &Frame) {
        if let Some(datagram) = self.seal(frame) {
            // The counter of failures has been increased.
            let _ = self.send_sealed(to, &datagram);
        }
    }

    /// Returns the datagram of a frame, to be sent by [`Self::send_sealed`]; `None`,
    /// which is counted, if it cannot be encoded.
    #[must_use]
    pub fn seal(&self, frame: &Frame) -> Option<Vec<u8>> {
        let sealed = self.seal.seal(frame);
        if sealed.is_err() {
            add(&self.counters.send_failed, 1);
        }
        sealed.ok()
    }

    /// Sends a sealed datagram, and counts it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the kernel does not accept it.
    pub fn send_sealed(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        match self.socket.udp().send_to(datagram, to) {
            Ok(length) => {
                add(&self.counters.sent, 1);
                add(&self.counters.sent_bytes, length);
                Ok(())
            }
            Err(error) => {
                add(&self.counters.send_failed, 1);
                Err(error)
            }
        }
    }

    fn refusal_counter(&self, error: wire::seal::Error) -> &AtomicU64 {
        match error {
            wire::seal::Error::Truncated => &self.counters.truncated,
            wire::seal::Error::Version => &self.counters.version,
            wire::seal::Error::Purpose => &self.counters.purpose,
            wire::seal::Error::UnknownKey => &self.counters.unknown_key,
            wire::seal::Error::BadTag => &self.counters.bad_tag,
            wire::seal::Error::Malformed => &self.counters.malformed,
        }
    }
}

impl Counters {
    /// Returns all counters with their metric names.
    #[must_use]
    pub fn all(&self) -> [Counter<'_>; 11] {
        [
            ("port.received", &self.received),
            ("port.received_bytes", &self.received_bytes),
            ("port.sent", &self.sent),
            ("port.sent_bytes", &self.sent_bytes),
            ("port.refused.truncated", &self.truncated),
            ("port.refused.version", &self.version),
            ("port.refused.purpose", &self.purpose),
            ("port.refused.unknown_key", &self.unknown_key),
            ("port.refused.bad_tag", &self.bad_tag),
            ("port.refused.malformed", &self.malformed),
            ("port.send_failed", &self.send_failed),
        ]
        .map(|(name, value)| Counter { name, value })
    }
}

impl Receiver {
    /// Waits for the next frame. Datagrams that fail authentication are counted
    /// and skipped.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn receive(&mut self) -> io::Result<Received> {
        loop {
            match self.try_receive() {
                Ok(Some(received)) => return Ok(received),
                Ok(None) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.port.socket.readable().await?;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads one datagram; `None` where it was refused, or where the kernel
    /// reported that an earlier datagram did not reach an open port.
    ///
    /// # Errors
    ///
    /// `WouldBlock` where no datagram has arrived, or the operating system's
    /// error.
    pub fn try_receive(&mut self) -> io::Result<Option<Received>> {
        let (length, from) = match self.port.socket.udp().recv_from(&mut self.buffer) {
            Ok(received) => received,
            // The port of an earlier destination is closed; the kernel reports
            // this on the socket's next call.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Ok(None),
            Err(error) => return Err(error),
        };
        add(&self.port.counters.received, 1);
        add(&self.port.counters.received_bytes, length);
        match self.port.seal.open(&self.buffer[..length]) {
            Ok(frame) => Ok(Some(Received { from, frame })),
            Err(error) => {
                add(self.port.refusal_counter(error), 1);
                Ok(None)
            }
        }
    }
}

/// Binds a blocking UDP socket for a thread that only reads from it. A read
/// times out after `wait`, a send after 1 ms.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub fn bind_blocking_socket(address: SocketAddr, wait: Duration) -> io::Result<UdpSocket> {
    let socket = open_socket(address)?;
    socket.set_read_timeout(Some(wait))?;
    socket.set_write_timeout(Some(SEND_TIMEOUT))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Binds a service address for the datagrams of callers, with `SO_REUSEPORT`:
/// several processes may bind it, so that one can take over from another.
///
/// # Errors
///
/// The operating system's error where the host does not own the address.
pub fn bind_service(address: ServiceAddress) -> io::Result<Async<UdpSocket>> {
    let socket = open_socket(address)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Async::new(socket.into())
}

fn open_socket(address: SocketAddr) -> io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
    // The kernel limits the size to `net.core.rmem_max`.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
