//! A UDP port that carries authenticated frames.
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

/// Bytes of the kernel's buffer for datagrams not yet read.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Longest time that sending a datagram may wait for room in the kernel.
const SEND_TIMEOUT: Duration = Duration::from_millis(1);

/// A UDP port that carries authenticated frames. Clones share the socket.
#[derive(Clone)]
pub struct Port {
    socket: Socket,
    seal: Arc<Seal>,
    counters: Arc<Counters>,
}

/// How the socket of a port is waited for.
#[derive(Clone)]
enum Socket {
    /// By the executor's reactor.
    Async(Arc<Async<UdpSocket>>),
    /// By the thread that reads, for some time at most.
    Blocking(Arc<UdpSocket>),
}

/// Reads the frames of a port into a buffer of its own, one for each thread.
pub struct Receiver {
    port: Port,
    buffer: Box<[u8]>,
}

/// Counts what a port dropped or sent, by reason.
#[derive(Default)]
pub struct Counters {
    /// Datagrams received, good or bad.
    pub received: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Datagrams that were shorter than their header.
    pub truncated: AtomicU64,
    /// Datagrams of another version.
    pub version: AtomicU64,
    /// Datagrams of another purpose.
    pub purpose: AtomicU64,
    /// Datagrams under a key that is not configured.
    pub unknown_key: AtomicU64,
    /// Datagrams whose tag did not match.
    pub bad_tag: AtomicU64,
    /// Datagrams whose frame could not be read.
    pub malformed: AtomicU64,
    /// Frames that the kernel did not take.
    pub send_failed: AtomicU64,
}

/// A counter and its name.
pub struct Named<'a> {
    /// Its name, with the reason.
    pub name: &'static str,
    /// Its value.
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
            // The next read waits.
            Self::Blocking(_) => Ok(()),
        }
    }
}

impl Port {
    /// Binds `address`.
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

    /// Binds `address` for a thread that does nothing else than read it, which
    /// costs one system call a datagram. A read returns after `wait` at most.
    ///
    /// # Errors
    ///
    /// The operating system's error where the address cannot be bound.
    pub fn bind_blocking(address: SocketAddr, seal: Arc<Seal>, wait: Duration) -> io::Result<Self> {
        Ok(Self {
            socket: Socket::Blocking(Arc::new(blocking(address, wait)?)),
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

    /// Sends a frame. A datagram that the kernel does not take is lost, as on
    /// any network, and counted.
    pub fn send(&self, to: SocketAddr, frame: &Frame) {
        let Ok(datagram) = self.seal.seal(frame) else {
            add(&self.counters.send_failed, 1);
            return;
        };
        match self.socket.udp().send_to(&datagram, to) {
            Ok(length) => {
                add(&self.counters.sent, 1);
                add(&self.counters.sent_bytes, length);
            }
            Err(_) => add(&self.counters.send_failed, 1),
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
    /// Returns every counter with its name.
    #[must_use]
    pub fn all(&self) -> [Named<'_>; 11] {
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
        .map(|(name, value)| Named { name, value })
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

    /// Reads a frame that has arrived already; `None` where the datagram was
    /// skipped.
    ///
    /// # Errors
    ///
    /// `WouldBlock` where none has arrived, or the operating system's error.
    pub fn try_receive(&mut self) -> io::Result<Option<Received>> {
        let (length, from) = match self.port.socket.udp().recv_from(&mut self.buffer) {
            Ok(received) => received,
            // A former peer's port is closed; UDP reports it on the next call.
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

/// Binds an address for a thread that does nothing else than read it. A read
/// returns after `wait` at most.
///
/// # Errors
///
/// The operating system's error where the address cannot be bound.
pub fn blocking(address: SocketAddr, wait: Duration) -> io::Result<UdpSocket> {
    let socket = open_socket(address)?;
    socket.set_read_timeout(Some(wait))?;
    socket.set_write_timeout(Some(SEND_TIMEOUT))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Binds a service address for the datagrams of callers. Several processes may
/// bind it, so that one can take over from another.
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
    // The kernel caps the size at its own limit.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
