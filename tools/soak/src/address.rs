//! The loopback addresses of a run: 127.NETWORK.KIND.NUMBER.
//!
//! Processes reach each other only at the addresses of their links, so that
//! all of their traffic passes through the soak.
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

/// Port of callers, and of the packets that are meant for callers.
pub const PACKET_PORT: u16 = 8172;
/// Port of the question whether a process takes traffic.
pub const READY_PORT: u16 = 8167;
/// Port of announcements.
pub const ANNOUNCEMENT_PORT: u16 = 8166;
/// Port of frames between processes.
pub const FRAME_PORT: u16 = 7720;
/// Port that a backend server sends to.
pub const OUTGOING_PORT: u16 = 8173;
/// Port of a backend server.
pub const SERVER_PORT: u16 = 8080;
/// Port of the store.
pub const STORE_PORT: u16 = 8169;

/// First address that callers send to, and its port.
const SERVICES: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
const SERVICE_PORT: u16 = 443;

/// The addresses of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network(pub u8);

impl Network {
    /// What a host itself binds.
    #[must_use]
    pub fn process(self, host: usize) -> Ipv4Addr {
        self.ip(1, host)
    }

    /// Where others reach a host.
    #[must_use]
    pub fn link(self, host: usize) -> Ipv4Addr {
        self.ip(2, host)
    }

    /// Where a host reaches the store.
    #[must_use]
    pub fn store_link(self, host: usize) -> SocketAddr {
        socket(self.ip(3, host), STORE_PORT)
    }

    /// A host that callers run on.
    #[must_use]
    pub fn caller(self, number: usize) -> Ipv4Addr {
        self.ip(4, number)
    }

    /// The store itself.
    #[must_use]
    pub fn store(self) -> SocketAddr {
        socket(self.ip(0, 0), STORE_PORT)
    }

    /// The number within its kind of an address.
    #[must_use]
    pub fn index(address: Ipv4Addr) -> usize {
        usize::from(address.octets()[3]).saturating_sub(1)
    }

    fn ip(self, kind: u8, number: usize) -> Ipv4Addr {
        let number = u8::try_from(number + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.0, kind, number)
    }
}

/// The address that callers of a route send to.
#[must_use]
pub fn service(route: usize) -> SocketAddrV4 {
    let offset = u32::try_from(route).unwrap_or_default();
    let ip = Ipv4Addr::from_bits(SERVICES.to_bits() + offset);
    SocketAddrV4::new(ip, SERVICE_PORT)
}

/// An address with a port.
#[must_use]
pub const fn socket(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}
