//! The fabric: forwards each datagram of a caller to a random entry, and sends
//! the replies of entries to the caller from the service address.
mod entries;
mod fault;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use getopts::Options;
use smol::LocalExecutor;
use smol::Timer;
use wire::Frame;
use wire::Seal;
use wire::ServiceAddress;
use wire::frame::Encapsulated;
use wire::frame::MAX_DATAGRAM_BYTES;
use wire::seal::KEY_LEN;
use wire::seal::Key;

use crate::options;
use crate::stop;

pub use entries::Entries;
pub use fault::Fault;

const BRIEF: &str = "Usage: standin fabric --listen ADDRESS --service ADDRESS... \
    --entry ADDRESS... --key ID:HEX [FLAGS]";
/// Time between checks of the file of entries.
const RELOAD_INTERVAL: Duration = Duration::from_millis(200);
/// Buffer size: a datagram of a caller and room for the frame around it.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1024;

/// State of the fabric.
pub struct Fabric {
    /// Signs and checks the frames exchanged with entries.
    seal: Seal,
    /// Socket for the traffic with entries.
    entry_socket: Async<UdpSocket>,
    services: Vec<Service>,
    entries: RefCell<Entries>,
    fault: RefCell<Fault>,
}

/// A service address and the socket bound to it.
struct Service {
    address: ServiceAddress,
    socket: Async<UdpSocket>,
}

/// A datagram and its destination.
struct Datagram {
    /// Index of the service whose socket sends it; `None` for datagrams to
    /// entries.
    service: Option<usize>,
    destination: SocketAddr,
    bytes: Vec<u8>,
}

/// Runs `standin fabric` until SIGTERM or SIGINT.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    options::exit_code(run(args))
}

fn run(args: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let mut flags = Options::new();
    flags.optopt(
        "",
        "listen",
        "UDP address for the traffic with entries",
        "ADDRESS",
    );
    flags.optmulti("", "service", "service address; may be repeated", "ADDRESS");
    flags.optmulti(
        "",
        "entry",
        "UDP address of an entry; may be repeated",
        "ADDRESS",
    );
    flags.optopt(
        "",
        "entries-file",
        "file with the address of an entry per line; read again when it changes",
        "FILE",
    );
    flags.optopt("", "key", "signing key shared with the entries", "ID:HEX");
    flags.optopt("", "loss", "share of datagrams lost (0)", "PERCENT");
    flags.optopt(
        "",
        "duplicate",
        "share of datagrams duplicated (0)",
        "PERCENT",
    );
    flags.optopt(
        "",
        "delay-ms",
        "upper limit of the random delay, which reorders datagrams (0)",
        "MS",
    );
    flags.optopt("", "seed", "seed of all random choices (random)", "SEED");
    let Some(matches) = options::parse(&mut flags, BRIEF, args)? else {
        return Ok(());
    };
    let key: String = options::required(&matches, "key")?;
    let key = parse_key(&key).ok_or_else(|| options::Error::Invalid {
        name: "key".into(),
        value: key,
    })?;
    let seed = options::optional(&matches, "seed", fastrand::u64(..))?;
    let fault = Fault {
        loss: options::optional(&matches, "loss", 0)?,
        duplicate: options::optional(&matches, "duplicate", 0)?,
        delay: Duration::from_millis(options::optional(&matches, "delay-ms", 0)?),
        random: fastrand::Rng::with_seed(seed),
    };
    let file = matches.opt_str("entries-file").map(PathBuf::from);
    let entries = Entries::new(options::repeated(&matches, "entry")?, file);
    let services: Vec<ServiceAddress> = options::repeated(&matches, "service")?;
    let listen: SocketAddr = options::required(&matches, "listen")?;
    let fabric = Fabric {
        seal: Seal::new(key, Vec::new()),
        entry_socket: Async::<UdpSocket>::bind(listen)?,
        services: services
            .into_iter()
            .map(Service::bind)
            .collect::<Result<_, _>>()?,
        entries: RefCell::new(entries),
        fault: RefCell::new(fault),
    };
    serve(&Rc::new(fabric))?;
    Ok(())
}

fn serve(fabric: &Rc<Fabric>) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        for index in 0..fabric.services.len() {
            let to_entries = forward_to_entries(Rc::clone(fabric), Rc::clone(&executor), index);
            executor.spawn(to_entries).detach();
        }
        let to_callers = forward_to_callers(Rc::clone(fabric), Rc::clone(&executor));
        executor.spawn(to_callers).detach();
        executor.spawn(reload(Rc::clone(fabric))).detach();
        stop::requested().await
    }))
}

/// Forwards each datagram that arrives for a service to a random entry.
async fn forward_to_entries(
    fabric: Rc<Fabric>,
    executor: Rc<LocalExecutor<'static>>,
    index: usize,
) {
    let service = &fabric.services[index];
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((len, caller)) = service.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let frame = Frame::Encapsulated(Encapsulated {
            caller,
            service: service.address,
            packet: Bytes::copy_from_slice(&buffer[..len]),
        });
        let (Ok(bytes), Some(destination)) = (fabric.seal.seal(&frame), fabric.choose_entry())
        else {
            continue;
        };
        let datagram = Datagram {
            service: None,
            destination,
            bytes,
        };
        fabric.forward(&executor, datagram).await;
    }
}

/// Forwards the replies of entries to the callers.
async fn forward_to_callers(fabric: Rc<Fabric>, executor: Rc<LocalExecutor<'static>>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((len, _)) = fabric.entry_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(Frame::Encapsulated(encapsulated)) = fabric.seal.open(&buffer[..len]) else {
            continue;
        };
        let service = fabric
            .services
            .iter()
            .position(|service| service.address == encapsulated.service);
        if service.is_none() {
            continue;
        }
        let datagram = Datagram {
            service,
            destination: encapsulated.caller,
            bytes: encapsulated.packet.into(),
        };
        fabric.forward(&executor, datagram).await;
    }
}

/// Reads the file of entries again at a fixed interval.
async fn reload(fabric: Rc<Fabric>) {
    loop {
        Timer::after(RELOAD_INTERVAL).await;
        fabric.entries.borrow_mut().reload();
    }
}

impl Service {
    fn bind(address: ServiceAddress) -> std::io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        Ok(Self { address, socket })
    }
}

impl Fabric {
    fn choose_entry(&self) -> Option<SocketAddr> {
        let mut fault = self.fault.borrow_mut();
        self.entries.borrow().choose(&mut fault.random)
    }

    /// Sends the copies of a datagram that the faults leave, each after its
    /// delay.
    async fn forward(self: &Rc<Self>, executor: &LocalExecutor<'static>, datagram: Datagram) {
        let copies = self.fault.borrow_mut().copies();
        for delay in copies {
            if delay.is_zero() {
                self.send(&datagram).await;
                continue;
            }
            let fabric = Rc::clone(self);
            let datagram = Datagram {
                bytes: datagram.bytes.clone(),
                ..datagram
            };
            let delayed_send = async move {
                Timer::after(delay).await;
                fabric.send(&datagram).await;
            };
            executor.spawn(delayed_send).detach();
        }
    }

    async fn send(&self, datagram: &Datagram) {
        let socket = datagram
            .service
            .map_or(&self.entry_socket, |index| &self.services[index].socket);
        // Like any lost datagram, one that cannot be sent goes unreported.
        let _ = socket.send_to(&datagram.bytes, datagram.destination).await;
    }
}

/// Parses a key in the form `ID:HEX`; returns `None` if it is malformed.
fn parse_key(text: &str) -> Option<Key> {
    let (id, hex) = text.split_once(':')?;
    let secret: [u8; KEY_LEN] = (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok())
        .collect::<Option<Vec<u8>>>()?
        .try_into()
        .ok()?;
    let id = id.parse().ok()?;
    Some(Key { id, secret })
}
