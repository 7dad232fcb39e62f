//! Loopback addresses of a run: 127.NETWORK.KIND.NUMBER.
//!
//! Processes reach each other only at the addresses of their links, so that
//! all traffic between them is relayed by the soak.
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

/// UDP port of callers, and of processes for packets between callers and
/// services.
pub const PACKET_PORT: u16 = 8172;
/// TCP port of the readiness check of a process.
pub const READY_PORT: u16 = 8167;
/// TCP port of announcements of backend servers.
pub const ANNOUNCEMENT_PORT: u16 = 8166;
/// UDP port of frames between processes.
pub const FRAME_PORT: u16 = 7720;
/// UDP port of a sidecar to which its backend server sends.
pub const OUTGOING_PORT: u16 = 8173;
/// UDP port of a backend server.
pub const SERVER_PORT: u16 = 8080;
/// TCP port of the store.
pub const STORE_PORT: u16 = 8169;

/// First of the service addresses, and the port of all of them.
const SERVICES: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
const SERVICE_PORT: u16 = 443;

/// Loopback network of one run, by its second octet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network(pub u8);

impl Network {
    /// Returns the address that the process of a host binds.
    #[must_use]
    pub fn process(self, host: usize) -> Ipv4Addr {
        self.ip(1, host)
    }

    /// Returns the address at which other hosts reach a host.
    #[must_use]
    pub fn link(self, host: usize) -> Ipv4Addr {
        self.ip(2, host)
    }

    /// Returns the address at which a host reaches the store.
    #[must_use]
    pub fn store_link(self, host: usize) -> SocketAddr {
        socket(self.ip(3, host), STORE_PORT)
    }

    /// Returns the address of a host that callers run on.
    #[must_use]
    pub fn caller(self, number: usize) -> Ipv4Addr {
        self.ip(4, number)
    }

    /// Returns the address that the store itself binds.
    #[must_use]
    pub fn store(self) -> SocketAddr {
        socket(self.ip(0, 0), STORE_PORT)
    }

    /// Returns the index of an address among those of its kind.
    #[must_use]
    pub fn index(address: Ipv4Addr) -> usize {
        usize::from(address.octets()[3]).saturating_sub(1)
    }

    fn ip(self, kind: u8, number: usize) -> Ipv4Addr {
        let number = u8::try_from(number + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.0, kind, number)
    }
}

/// Returns the service address of a route.
#[must_use]
pub fn service(route: usize) -> SocketAddrV4 {
    let offset = u32::try_from(route).unwrap_or_default();
    let ip = Ipv4Addr::from_bits(SERVICES.to_bits() + offset);
    SocketAddrV4::new(ip, SERVICE_PORT)
}

/// Joins an IP address and a port.
#[must_use]
pub const fn socket(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}
