//! The load tool: starts operations at a fixed rate over many flows and owns
//! the socket.
use std::io;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use wire::frame::MAX_DATAGRAM_BYTES;

use super::Action;
use super::Caller;
use super::Report;
use super::Settings;
use crate::settings::Call;

/// Delay between the opens of two flows.
const OPEN_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait for the flows to open, from the open of the last one.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PERCENT: u8 = 100;

/// State of a load run.
pub struct Load {
    settings: Call,
    caller: Caller,
    report: Report,
    socket: Async<UdpSocket>,
    random: fastrand::Rng,
    start: Instant,
    next_progress: Duration,
}

/// Opens the flows, sends requests for the set duration, waits until every
/// operation has ended, closes the flows and returns the report.
///
/// # Errors
///
/// Returns the errors of the socket, and [`ErrorKind::TimedOut`] if no flow
/// could be opened.
pub async fn run(settings: Call) -> io::Result<Report> {
    let mut load = Load::new(settings)?;
    load.open().await?;
    load.send().await?;
    load.finish().await?;
    load.report.finish();
    Ok(load.report)
}

impl Load {
    fn new(settings: Call) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(settings.bind)?;
        socket.get_ref().connect(settings.service)?;
        let seed = match settings.seed {
            0 => fastrand::u64(1..),
            seed => seed,
        };
        let caller = Caller::new(Settings {
            service: settings.name.clone(),
            deadline: settings.deadline,
            payload: settings.payload as usize,
            seed,
            ..Settings::default()
        });
        let name = match settings.name.as_str() {
            "" => settings.service.to_string(),
            name => name.to_owned(),
        };
        Ok(Self {
            caller,
            report: Report::new(name, seed),
            socket,
            random: fastrand::Rng::with_seed(seed.wrapping_add(1)),
            start: Instant::now(),
            next_progress: PROGRESS_INTERVAL,
            settings,
        })
    }

    async fn open(&mut self) -> io::Result<()> {
        for _ in 0..self.settings.flows {
            let now = self.now();
            self.caller.open(now);
            self.run_until(now + OPEN_INTERVAL).await?;
        }
        let end = self.now() + OPEN_TIMEOUT;
        while self.caller.open_flows() < self.caller.flows() && self.now() < end {
            let now = self.now();
            self.run_until(now + POLL_INTERVAL).await?;
        }
        match self.caller.open_flows() {
            0 => Err(io::Error::new(
                ErrorKind::TimedOut,
                format!(
                    "no flow could be opened at {} within {} s",
                    self.settings.service,
                    OPEN_TIMEOUT.as_secs()
                ),
            )),
            _ => Ok(()),
        }
    }

    async fn send(&mut self) -> io::Result<()> {
        let interval = Duration::from_secs(1) / self.settings.rate.max(1);
        let mut next = self.now();
        let end = next + self.settings.duration;
        while next < end {
            self.run_until(next).await?;
            let flow = self.random.usize(0..self.caller.flows());
            let idempotent = self.random.u8(0..PERCENT) < self.settings.idempotent;
            self.caller.start(next, flow, idempotent);
            self.report.sent += 1;
            next += interval;
        }
        Ok(())
    }

    async fn finish(&mut self) -> io::Result<()> {
        while self.caller.pending() > 0 {
            let now = self.now();
            self.run_until(now + POLL_INTERVAL).await?;
        }
        let now = self.now();
        self.caller.close(now);
        while self.caller.closing() > 0 && self.now() < now + CLOSE_TIMEOUT {
            let now = self.now();
            self.run_until(now + POLL_INTERVAL).await?;
        }
        Ok(())
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Handles received datagrams, the caller's timers and its actions until
    /// `end`.
    async fn run_until(&mut self, end: Duration) -> io::Result<()> {
        loop {
            self.caller.tick(self.now());
            self.run_actions().await;
            self.show_progress();
            let now = self.now();
            if now >= end {
                return Ok(());
            }
            let wake = self.caller.next_deadline().map_or(end, |at| at.min(end));
            let timer = Timer::after(wake.saturating_sub(now));
            let readable = async {
                self.socket.readable().await?;
                io::Result::Ok(true)
            };
            let timeout = async {
                timer.await;
                io::Result::Ok(false)
            };
            if future::or(readable, timeout).await? {
                self.receive()?;
            }
        }
    }

    fn receive(&mut self) -> io::Result<()> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.get_ref().recv(&mut buffer) {
                Ok(len) => {
                    let datagram = Bytes::copy_from_slice(&buffer[..len]);
                    self.caller.receive(self.start.elapsed(), datagram);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                // An ICMP port-unreachable message from an earlier send: nothing
                // listens at the address at the moment. The caller retransmits.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    async fn run_actions(&mut self) {
        while let Some(action) = self.caller.next_action() {
            if let Action::Send(datagram) = &action {
                // A failed send counts as a lost datagram: it is retransmitted.
                let _ = self.socket.send(datagram).await;
            }
            self.report.add(self.start.elapsed(), &action);
        }
    }

    fn show_progress(&mut self) {
        let now = self.now();
        if now < self.next_progress {
            return;
        }
        self.next_progress = now + PROGRESS_INTERVAL;
        eprintln!(
            "{:>4} s: {} flows open, {} sent, {} answered, {} pending",
            now.as_secs(),
            self.caller.open_flows(),
            self.report.sent,
            self.report.answered,
            self.caller.pending(),
        );
    }
}
