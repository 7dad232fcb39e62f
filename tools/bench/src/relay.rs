//! Compares the throughput of an entry's traffic thread with that of a bare UDP
//! relay.
//!
//! Both relay the same datagrams from one loopback socket to another. The
//! throughput is in packets per second of processor time of the relaying
//! thread, so that other load on the machine has little effect.
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use app::entry::frontend::Frontend;
use app::entry::traffic::Counters;
use app::entry::traffic::Traffic;
use arc_swap::ArcSwap;
use entry::Router;
use entry::Service;
use net::Port;
use route::Order;
use serde::Serialize;
use wire::Frame;
use wire::Seal;
use wire::Target;
use wire::Token;
use wire::caller::Open;
use wire::caller::Packet;
use wire::caller::Request;
use wire::caller::packet::Body;
use wire::frame::Encapsulated;
use wire::seal::KEY_LEN;
use wire::seal::Key;
use wire::target::State;

use crate::report;

/// Duration of one run.
const RUN_TIME: Duration = Duration::from_secs(2);

/// Number of runs of each relay, of which the median is taken.
const RUNS: usize = 3;

/// Numbers of targets of the services that are measured.
const SIZES: [u16; 3] = [7, 100, 1_000];

/// Number of distinct flows that the datagrams belong to.
const FLOWS: u64 = 1_024;

/// Kind of the packets that callers send.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Opens of new flows.
    Open,
    /// Requests that name the holder of their flow.
    Request,
}

/// Throughput of one relay.
#[derive(Serialize)]
struct Figure {
    /// `bare`, or the kind of the packets through an entry.
    relay: String,
    /// Number of targets of the service; 0 for the bare relay.
    targets: u16,
    packets_per_cpu_second: f64,
    ratio_to_bare: f64,
}

/// Packets relayed in one run, and the processor time of the relaying thread.
struct Run {
    packets: u64,
    cpu: Duration,
}

/// Measures the relays, prints their throughput and writes `out/relay.json`.
///
/// # Errors
///
/// The error of the operating system.
pub fn run() -> io::Result<()> {
    let bare = median_rate(|| bare(&datagrams(Kind::Open, 1)))?;
    let mut figures = vec![Figure {
        relay: "bare".to_string(),
        targets: 0,
        packets_per_cpu_second: bare,
        ratio_to_bare: 1.0,
    }];
    for (kind, name) in [(Kind::Open, "opens"), (Kind::Request, "requests")] {
        for targets in SIZES {
            let rate = median_rate(|| through_entry(kind, targets))?;
            figures.push(Figure {
                relay: name.to_string(),
                targets,
                packets_per_cpu_second: rate,
                ratio_to_bare: rate / bare,
            });
        }
    }
    println!(
        "{:8} {:>8} {:>22} {:>14}",
        "relay", "targets", "packets/CPU-second", "ratio to bare"
    );
    for figure in &figures {
        println!(
            "{:8} {:>8} {:>22.0} {:>14.2}",
            figure.relay, figure.targets, figure.packets_per_cpu_second, figure.ratio_to_bare
        );
    }
    report::write("relay", &figures)
}

/// Returns the median of [`RUNS`] runs in packets per second of processor time.
fn median_rate(mut run: impl FnMut() -> io::Result<Run>) -> io::Result<f64> {
    let mut rates = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        let run = run()?;
        #[allow(clippy::cast_precision_loss)]
        rates.push(run.packets as f64 / run.cpu.as_secs_f64());
    }
    rates.sort_by(f64::total_cmp);
    Ok(rates[RUNS / 2])
}

/// Runs a bare relay, which makes two system calls per packet and nothing else.
fn bare(datagrams: &[Vec<u8>]) -> io::Result<Run> {
    let socket = UdpSocket::bind(loopback())?;
    let sink = UdpSocket::bind(loopback())?;
    let to = socket.local_addr()?;
    let sink_address = sink.local_addr()?;
    socket.set_read_timeout(Some(Duration::from_millis(100)))?;
    let generator = Generator::start(to, datagrams.to_vec());
    let begun = Instant::now();
    let before = cpu_time()?;
    let mut packets = 0;
    let mut buffer = [0; 2_048];
    while begun.elapsed() < RUN_TIME {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if socket.send_to(&buffer[..length], sink_address).is_ok() {
            packets += 1;
        }
    }
    let cpu = cpu_time()?.saturating_sub(before);
    generator.stop();
    Ok(Run { packets, cpu })
}

/// Runs the traffic thread of an entry, which forwards each packet to an agent.
fn through_entry(kind: Kind, targets: u16) -> io::Result<Run> {
    let sink = UdpSocket::bind(loopback())?;
    let port = Port::bind(loopback(), Arc::new(seal()))?;
    let to = port.local_addr()?;
    let (control, _inputs) = async_channel::bounded(1);
    let traffic = Arc::new(Traffic {
        port,
        frontend: Frontend::new(Some(sink.local_addr()?)),
        executor: smol::Executor::new(),
        router: ArcSwap::from_pointee(router(targets, sink.local_addr()?)),
        control,
        counters: Counters::default(),
    });
    let generator = Generator::start(to, datagrams(kind, FLOWS));
    let running = Arc::clone(&traffic);
    // While datagrams keep arriving, the relay does not yield to its timer. It
    // ends only after the generator has stopped.
    let timed = thread::spawn(move || -> io::Result<Duration> {
        let before = cpu_time()?;
        smol::block_on(smol::future::or(
            async {
                let _ = running.run().await;
            },
            async {
                smol::Timer::after(RUN_TIME).await;
            },
        ));
        Ok(cpu_time()?.saturating_sub(before))
    });
    thread::sleep(RUN_TIME);
    generator.stop();
    let cpu = timed
        .join()
        .map_err(|_| io::Error::other("the relay thread panicked"))??;
    Ok(Run {
        packets: traffic.counters.relayed.load(Ordering::Relaxed),
        cpu,
    })
}

fn router(targets: u16, agent: SocketAddr) -> Router {
    let targets: Vec<Target> = (0..targets).map(|index| target(index, agent)).collect();
    let mut router = Router::default();
    router.insert(Service::new(service(), 1, 3, Order::new(&targets)));
    router
}

fn target(index: u16, agent: SocketAddr) -> Target {
    Target {
        id: u64::from(index) + 1,
        service: service(),
        address: agent,
        control: agent,
        zone: index % 4,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 4,
        state: State::Ready,
    }
}

/// Returns the datagrams of a fabric, one for each of `flows` flows.
fn datagrams(kind: Kind, flows: u64) -> Vec<Vec<u8>> {
    let seal = seal();
    (1..=flows)
        .filter_map(|flow| {
            let encapsulated = Encapsulated {
                caller: service(),
                service: service(),
                packet: Packet::new(flow, body(kind)).to_bytes(),
            };
            seal.seal(&Frame::Encapsulated(encapsulated)).ok()
        })
        .collect()
}

fn body(kind: Kind) -> Body {
    match kind {
        Kind::Open => Body::Open(Open::default()),
        Kind::Request => {
            let holder = Token {
                target: 1,
                incarnation: 1,
            };
            Body::Request(Request {
                request: 1,
                holder: holder.to_bytes().to_vec().into(),
                deadline_ms: 1_000,
                ..Request::default()
            })
        }
    }
}

fn seal() -> Seal {
    let key = Key {
        id: 1,
        secret: [7; KEY_LEN],
    };
    Seal::new(key, Vec::new())
}

fn service() -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 5_000))
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the processor time of the calling thread.
fn cpu_time() -> io::Result<Duration> {
    let stat = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = stat
        .split_whitespace()
        .next()
        .and_then(|field| field.parse().ok());
    nanos.map(Duration::from_nanos).ok_or_else(|| {
        io::Error::other("/proc/thread-self/schedstat does not start with a number of nanoseconds")
    })
}

/// Thread that sends datagrams as fast as it can until it is stopped.
struct Generator {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Generator {
    fn start(to: SocketAddr, datagrams: Vec<Vec<u8>>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            let Ok(socket) = UdpSocket::bind(loopback()) else {
                return;
            };
            while !flag.load(Ordering::Relaxed) {
                for datagram in &datagrams {
                    let _ = socket.send_to(datagram, to);
                }
            }
        });
        Self { stopped, thread }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}
