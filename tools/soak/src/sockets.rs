//! Sockets through which the soak simulates callers, backend servers and the
//! network.
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;

use async_io::Async;

use crate::address::FRAME_PORT;
use crate::address::Network;
use crate::address::OUTGOING_PORT;
use crate::address::PACKET_PORT;
use crate::address::SERVER_PORT;
use crate::address::socket;
use crate::topology::Topology;

/// Number of hosts that callers run on, in each availability zone.
const CALLERS_PER_ZONE: usize = 2;

/// Size of the largest datagram.
const BUFFER_BYTES: usize = 64 * 1024;

/// Socket that one task reads and others send through.
pub type Socket = Rc<Async<UdpSocket>>;

/// All sockets of a run.
pub struct Sockets {
    /// Sockets of the hosts of callers.
    pub callers: Vec<Socket>,
    /// Sockets of the backend servers.
    pub servers: Vec<Socket>,
    /// Sockets of the links, which receive the frames for each host.
    pub links: Vec<Socket>,
    network: Network,
    gateways: usize,
}

impl Sockets {
    /// Binds all sockets of a deployment.
    ///
    /// # Errors
    ///
    /// The operating system's error, such as for an address that another run
    /// uses.
    pub fn bind(topology: &Topology, network: Network) -> io::Result<Self> {
        let callers = 0..topology.zones * CALLERS_PER_ZONE;
        let servers = topology.gateways..topology.hosts();
        let links = 0..topology.hosts();
        Ok(Self {
            callers: bind_all(callers.map(|number| socket(network.caller(number), PACKET_PORT)))?,
            servers: bind_all(servers.map(|host| socket(network.process(host), SERVER_PORT)))?,
            links: bind_all(links.map(|host| socket(network.link(host), FRAME_PORT)))?,
            network,
            gateways: topology.gateways,
        })
    }

    /// Sends a packet as a caller.
    pub fn send_as_caller(&self, caller: usize, to: SocketAddr, packet: &[u8]) {
        send(&self.callers[caller], to, packet);
    }

    /// Sends a packet as a backend server, to its sidecar.
    pub fn send_as_server(&self, server: usize, packet: &[u8]) {
        let host = self.gateways + server;
        let to = socket(self.network.process(host), OUTGOING_PORT);
        send(&self.servers[server], to, packet);
    }

    /// Relays a frame from the link of one host to another host.
    pub fn send_frame(&self, from: usize, to: usize, frame: &[u8]) {
        let to = socket(self.network.process(to), FRAME_PORT);
        send(&self.links[from], to, frame);
    }
}

/// Passes each received datagram to `handle`, until dropped.
pub async fn read(socket: Socket, mut handle: impl FnMut(SocketAddr, &[u8])) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // An earlier datagram to a closed port makes a receive fail; the socket
        // stays usable.
        if let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            handle(from, &buffer[..length]);
        }
    }
}

fn bind_all(addresses: impl Iterator<Item = SocketAddr>) -> io::Result<Vec<Socket>> {
    let sockets = addresses.map(|address| Async::<UdpSocket>::bind(address).map(Rc::new));
    sockets.collect()
}

/// Sends a datagram; one that the kernel refuses counts as lost on the network.
fn send(socket: &Socket, to: SocketAddr, packet: &[u8]) {
    let _ = socket.get_ref().send_to(packet, to);
}
