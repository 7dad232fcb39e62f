//! Two faults in a row while the flows of a backend server are in one state.
use std::io;
use std::time::Duration;

use async_io::Timer;

use super::Injector;
use super::series::MARGIN;
use super::series::OPENING_PAUSE;
use crate::lifecycle;

/// Share of the idle timeout, and of the largest age of flows, for which callers pause.
const PAUSE_SHARE: f64 = 0.8;

/// Time for which flows are opened before a fault.
const OPENING_TIME: Duration = Duration::from_millis(200);

/// Time after their first opening packets at which the first copies are under way.
const COPY_TIME: Duration = Duration::from_millis(190);

/// Range of the time between two faults, and of the duration of each, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 20..900;
const FAULT_MS: std::ops::Range<u64> = 40..1_200;

/// State of the flows of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Opening packets are on their way.
    Opening,
    /// Copies of them are, while others are answered.
    Copy,
    /// Flows are open and carry no packets.
    Idle,
    /// Their route names another service now.
    Moved,
    /// Flows end, and others from the same ports begin.
    Reused,
}

/// Fault of the host of a backend server.
#[derive(Clone, Copy, Debug)]
enum Fault {
    FreezeSidecar,
    KillSidecar,
    CrashServer,
    LosePower,
}

const FAULTS: [Fault; 4] = [
    Fault::FreezeSidecar,
    Fault::KillSidecar,
    Fault::CrashServer,
    Fault::LosePower,
];

impl Injector {
    /// Pauses the callers of a service for most of the time for which their flows may
    /// be idle, and uses all long flows then.
    pub(super) async fn pause(&self) -> io::Result<()> {
        let service = self.pick_service();
        let limits = self.harness.borrow().topology.limits;
        let longest = limits.idle.min(limits.bounds.oldest_flow);
        let pause = longest.mul_f64(PAUSE_SHARE);
        self.harness.borrow_mut().pause_callers(service, pause);
        Timer::after(pause).await;
        self.harness.borrow_mut().use_long_flows(service);
        Timer::after(2 * MARGIN).await;
        Ok(())
    }

    /// Causes two faults of a backend server's host while its flows are in a state, and
    /// restarts half of the gateways once the host counts as undisturbed.
    pub(super) async fn pair(&self, phase: Phase) -> io::Result<()> {
        let service = self.pick_service();
        let servers = self.servers_of(service);
        let limits = self.harness.borrow().topology.limits;
        let idle = limits.undisturbed + limits.bounds.stop + 4 * MARGIN;
        let Some(server) = self.sample(servers, 0).first().copied() else {
            return Ok(());
        };
        let other = (service + 1) % self.harness.borrow().topology.services.len();
        let start = self.harness.borrow().now();
        match phase {
            Phase::Opening | Phase::Copy => {
                while self.harness.borrow().now() < start + OPENING_TIME {
                    self.harness.borrow_mut().open_long_flow(service);
                    Timer::after(OPENING_PAUSE).await;
                }
                self.harness.borrow_mut().pause_callers(service, idle);
                if phase == Phase::Copy {
                    Timer::after(COPY_TIME).await;
                }
            }
            Phase::Idle => {
                self.harness.borrow_mut().pause_callers(service, idle);
                Timer::after(2 * MARGIN).await;
            }
            Phase::Moved => {
                self.name_service(service, other);
                Timer::after(limits.apply + MARGIN).await;
            }
            Phase::Reused => {}
        }
        self.fail(server).await?;
        let gap = self.harness.borrow_mut().random.u64(GAP_MS);
        Timer::after(Duration::from_millis(gap)).await;
        self.fail(server).await?;
        Timer::after(limits.undisturbed + MARGIN).await;
        self.restart_gateways_under(service).await?;
        if phase == Phase::Moved {
            self.name_service(service, service);
        }
        Ok(())
    }

    /// Causes a random fault of a backend server's host, and waits until it has ended.
    async fn fail(&self, server: usize) -> io::Result<()> {
        let (host, fault, time) = {
            let harness = &mut *self.harness.borrow_mut();
            let fault = FAULTS[harness.random.usize(..FAULTS.len())];
            let time = Duration::from_millis(harness.random.u64(FAULT_MS));
            (harness.host_of(server), fault, time)
        };
        match fault {
            Fault::FreezeSidecar => self.freeze(vec![host], time).await,
            Fault::KillSidecar => self.kill(vec![host], false, time).await,
            Fault::LosePower => self.kill(vec![host], true, time).await,
            Fault::CrashServer => {
                self.harness.borrow_mut().server_end(server);
                Timer::after(time).await;
                lifecycle::start(&self.harness, &self.executor, server);
                Ok(())
            }
        }
    }
}
