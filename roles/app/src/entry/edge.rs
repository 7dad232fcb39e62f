//! How an entry exchanges datagrams with callers.
//!
//! A fabric that wraps datagrams hands them over in frames, on the port of the
//! entry. Behind any other fabric the entry binds the service addresses itself,
//! which the host must own.
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
use wire::frame::MAX_DATAGRAM_BYTES;
use wire::frame::Sprayed;

/// Datagrams that are read from one socket before other tasks run.
const BATCH: usize = 64;

type Sockets = HashMap<ServiceAddress, Arc<Async<UdpSocket>>>;

/// How an entry exchanges datagrams with callers.
pub enum Edge {
    /// Through a fabric that wraps them.
    Wrapped {
        /// Where packets for callers are sent.
        fabric: SocketAddr,
    },
    /// On sockets of the entry's own.
    Bound(Bound),
}

/// The sockets of the service addresses that an entry binds.
#[derive(Default)]
pub struct Bound {
    sockets: ArcSwap<Sockets>,
}

impl Edge {
    /// Wraps datagrams for `fabric`, or binds the service addresses where there
    /// is none.
    #[must_use]
    pub fn new(fabric: Option<SocketAddr>) -> Self {
        match fabric {
            Some(fabric) => Self::Wrapped { fabric },
            None => Self::Bound(Bound::default()),
        }
    }
}

impl Bound {
    /// Binds a service address and returns its socket, or `None` where it is
    /// bound already.
    ///
    /// # Errors
    ///
    /// The operating system's error, such as that the host does not own the
    /// address.
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

    /// Gives up a service address.
    pub fn release(&self, service: ServiceAddress) {
        let mut sockets = self.sockets.load().as_ref().clone();
        if sockets.remove(&service).is_some() {
            self.sockets.store(Arc::new(sockets));
        }
    }

    /// Sends a packet to a caller from the address of its service; false where
    /// that was not possible.
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

/// Reads the datagrams of a service until dropped.
pub async fn receive(
    service: ServiceAddress,
    socket: Arc<Async<UdpSocket>>,
    mut handle: impl FnMut(Sprayed),
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        for _ in 0..BATCH {
            match socket.get_ref().recv_from(&mut buffer) {
                Ok((length, caller)) => handle(Sprayed {
                    caller,
                    service,
                    packet: Bytes::copy_from_slice(&buffer[..length]),
                }),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let _ = socket.readable().await;
                }
                // A caller's port is closed; UDP reports it on the next call.
                Err(_) => {}
            }
        }
        smol::future::yield_now().await;
    }
}
