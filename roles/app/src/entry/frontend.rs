//! Datagram exchange between an entry and callers.
//!
//! A fabric that encapsulates datagrams delivers them in frames to the entry's
//! port. Behind any other fabric the entry binds the service addresses itself,
//! so the host must own them.
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_io::Async;
use bytes::Bytes;
use net::port::bind_service;
use wire::Reply;
use wire::ServiceAddress;
use wire::frame::Encapsulated;
use wire::frame::MAX_DATAGRAM_BYTES;

/// Maximum number of datagrams read from one socket before other tasks run.
const BATCH: usize = 64;

type Sockets = HashMap<ServiceAddress, Arc<Async<UdpSocket>>>;

/// Path on which an entry exchanges datagrams with callers.
pub enum Frontend {
    /// A fabric that encapsulates datagrams in frames.
    Encapsulated {
        /// UDP address of the fabric, to which packets for callers are sent.
        fabric: SocketAddr,
    },
    /// Sockets that the entry binds to the service addresses.
    Bound(Bound),
}

/// Sockets that an entry has bound to service addresses.
#[derive(Default)]
pub struct Bound {
    sockets: ArcSwap<Sockets>,
}

impl Frontend {
    /// Creates the path through `fabric`, or one that binds service addresses if
    /// there is none.
    #[must_use]
    pub fn new(fabric: Option<SocketAddr>) -> Self {
        match fabric {
            Some(fabric) => Self::Encapsulated { fabric },
            None => Self::Bound(Bound::default()),
        }
    }
}

impl Bound {
    /// Binds a service address and returns its socket, or `None` if it is bound
    /// already.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, for example if the host does not
    /// own the address.
    pub fn bind(&self, service: ServiceAddress) -> io::Result<Option<Arc<Async<UdpSocket>>>> {
        let mut sockets = self.sockets.load().as_ref().clone();
        if sockets.contains_key(&service) {
            return Ok(None);
        }
        let socket = Arc::new(bind_service(service)?);
        sockets.insert(service, Arc::clone(&socket));
        self.sockets.store(Arc::new(sockets));
        Ok(Some(socket))
    }

    /// Stops replying from a service address; its socket is closed once its
    /// reading task is dropped too.
    pub fn release(&self, service: ServiceAddress) {
        let mut sockets = self.sockets.load().as_ref().clone();
        if sockets.remove(&service).is_some() {
            self.sockets.store(Arc::new(sockets));
        }
    }

    /// Sends a packet to a caller from the address of its service. Returns false
    /// if the address is not bound or the send fails.
    #[must_use]
    pub fn send(&self, reply: &Reply) -> bool {
        let sockets = self.sockets.load();
        let Some(socket) = sockets.get(&reply.service) else {
            return false;
        };
        socket
            .get_ref()
            .send_to(&reply.packet, reply.caller)
            .is_ok()
    }
}

/// Passes the datagrams that arrive for a service to `on_datagram` until dropped.
pub async fn receive(
    service: ServiceAddress,
    socket: Arc<Async<UdpSocket>>,
    mut on_datagram: impl FnMut(Encapsulated),
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        for _ in 0..BATCH {
            match socket.get_ref().recv_from(&mut buffer) {
                Ok((length, caller)) => on_datagram(Encapsulated {
                    caller,
                    service,
                    packet: Bytes::copy_from_slice(&buffer[..length]),
                }),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let _ = socket.readable().await;
                }
                // An earlier reply met a closed port: the kernel reports the
                // ICMP error on a later call.
                Err(_) => {}
            }
        }
        smol::future::yield_now().await;
    }
}
