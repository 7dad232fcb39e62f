//! Injects disturbances into a run.
mod odd;
mod pair;
mod series;
mod store;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use platform_standin::store::Mode;
use proof::Signal;
use smol::LocalExecutor;

use crate::address;
use crate::checker::Invariant;
use crate::evacuation;
use crate::harness::Shared;
use crate::host::Cause;
use crate::host::Host;
use crate::lifecycle;
use crate::link;
use crate::plan::Disturbance;
use crate::plan::Kind;
use crate::proxy;
use pair::Phase;

/// Interval at which a stopping process is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between the restarts of two hosts in turn.
const ROLL_PAUSE: Duration = Duration::from_millis(700);

/// Pause between the exit of a process and the start of its successor.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Time beyond the reuse bound after which an address serves another service.
const REUSE_MARGIN: Duration = Duration::from_millis(100);

/// Interval between two configurations of a storm.
const STORM_INTERVAL: Duration = Duration::from_millis(200);

/// Share of the frames that a lossy host loses, and extra delay of a far one.
const LOSS_SHARE: f64 = 0.33;
const FRAME_DELAY: Duration = Duration::from_millis(80);

/// Delay of each late write.
const WRITE_DELAY: Duration = Duration::from_secs(2);

/// Injector of the disturbances of one run.
#[derive(Clone)]
pub struct Injector {
    /// State of the run.
    pub harness: Shared,
    /// Executor for the tasks of restarted backend servers.
    pub executor: Rc<LocalExecutor<'static>>,
}

impl Injector {
    /// Injects a disturbance and waits until it has ended.
    ///
    /// # Errors
    ///
    /// The operating system's error where a process cannot be started.
    pub async fn inject(&self, disturbance: Disturbance) -> io::Result<()> {
        let duration = disturbance.duration;
        match disturbance.kind {
            Kind::RollGateways => self.roll(self.gateways(100)).await,
            Kind::RollSidecars => self.roll(self.sidecars(50)).await,
            Kind::Release => self.release().await,
            Kind::Reload => self.for_each(&self.hosts(50), |host| host.signal(Signal::Replace)),
            Kind::Route => self.route(duration).await,
            Kind::Storm => self.storm(duration).await,
            Kind::Reuse => self.reuse().await,
            Kind::KillGateway => self.kill(self.gateways(0), false, duration).await,
            Kind::KillSidecar => self.kill(self.sidecars(0), false, duration).await,
            Kind::KillAll => self.kill(self.hosts(100), false, duration).await,
            Kind::PowerOne => self.kill(self.hosts(0), true, duration).await,
            Kind::PowerAll => self.kill(self.hosts(100), true, duration).await,
            Kind::Freeze => self.freeze(self.hosts(30), duration).await,
            Kind::FreezeGateways => self.freeze(self.gateways(100), duration).await,
            Kind::Cut => {
                self.disturb_links(0, duration, |fault| {
                    (fault.drops_incoming, fault.drops_outgoing) = (true, true);
                })
                .await
            }
            Kind::Deaf => {
                self.disturb_links(30, duration, |fault| fault.drops_incoming = true)
                    .await
            }
            Kind::Mute => {
                self.disturb_links(30, duration, |fault| fault.drops_outgoing = true)
                    .await
            }
            Kind::Lossy => {
                self.disturb_links(50, duration, |fault| fault.loss = LOSS_SHARE)
                    .await
            }
            Kind::Far => {
                self.disturb_links(50, duration, |fault| fault.delay = FRAME_DELAY)
                    .await
            }
            Kind::Crash => self.crash(duration).await,
            Kind::StoreSilent => self.set_store_mode(Mode::Silent, duration).await,
            Kind::StoreRefuses => self.set_store_mode(Mode::Refuse(503), duration).await,
            Kind::StoreLoses => self.set_store_mode(Mode::LoseAnswers, duration).await,
            Kind::StoreLate => self.set_store_mode(Mode::Late(WRITE_DELAY), duration).await,
            Kind::StoreSlow => self.slow_store(duration).await,
            Kind::StoreForgets => {
                self.disturb_store_once(|harness| harness.store.forget_history());
                Ok(())
            }
            Kind::StoreLapses => {
                self.disturb_store_once(|harness| harness.store.end_leases());
                Ok(())
            }
            Kind::StoreRestored => self.restore_from_copy(duration).await,
            Kind::StoreAway => {
                self.disturb_proxies(duration, |fault| fault.drops_requests = true)
                    .await
            }
            Kind::StoreOneWay => {
                self.disturb_proxies(duration, |fault| fault.drops_answers = true)
                    .await
            }
            Kind::StoreResets => {
                self.disturb_proxies(duration, |fault| fault.resets = true)
                    .await
            }
            Kind::StoreSilences => {
                self.disturb_proxies(duration, |fault| fault.silence_epoch += 1)
                    .await
            }
            Kind::Evacuate => {
                evacuation::inject(&self.harness, duration).await;
                Ok(())
            }
            Kind::MoveRoute => self.move_route(duration).await,
            Kind::YoungServer => self.restart_beside_young_server().await,
            Kind::FreezeThenCrash => self.freeze_then_crash().await,
            Kind::OddEntries => self.leave_odd_entries(duration).await,
            Kind::ChangedBound => self.change_bounds().await,
            Kind::Pause => self.pause().await,
            Kind::PairOpening => self.pair(Phase::Opening).await,
            Kind::PairCopy => self.pair(Phase::Copy).await,
            Kind::PairIdle => self.pair(Phase::Idle).await,
            Kind::PairMoved => self.pair(Phase::Moved).await,
            Kind::PairReused => self.pair(Phase::Reused).await,
        }
    }

    fn gateways(&self, percent: usize) -> Vec<usize> {
        let count = self.harness.borrow().topology.gateways;
        self.sample((0..count).collect(), percent)
    }

    fn sidecars(&self, percent: usize) -> Vec<usize> {
        let gateways = self.harness.borrow().topology.gateways;
        let hosts = self.harness.borrow().topology.hosts();
        self.sample((gateways..hosts).collect(), percent)
    }

    fn hosts(&self, percent: usize) -> Vec<usize> {
        let count = self.harness.borrow().topology.hosts();
        self.sample((0..count).collect(), percent)
    }

    /// Returns a random share of the candidates, at least one.
    fn sample(&self, mut candidates: Vec<usize>, percent: usize) -> Vec<usize> {
        let harness = &mut *self.harness.borrow_mut();
        harness.random.shuffle(&mut candidates);
        let count = candidates.len() * percent / 100;
        candidates.truncate(count.max(1));
        candidates
    }

    /// Applies an action to each of the hosts.
    fn for_each(
        &self,
        hosts: &[usize],
        mut act: impl FnMut(&mut Host) -> io::Result<()>,
    ) -> io::Result<()> {
        let harness = &mut *self.harness.borrow_mut();
        hosts
            .iter()
            .try_for_each(|host| act(&mut harness.hosts[*host]))
    }

    /// Applies an action to hosts and records that a disturbance of them
    /// begins.
    fn disturb(
        &self,
        hosts: &[usize],
        cause: Cause,
        mut act: impl FnMut(&mut Host) -> io::Result<()>,
    ) -> io::Result<()> {
        self.for_each(hosts, |host| {
            host.begin_disturbance(cause);
            act(host)
        })
    }

    /// Undoes [`Self::disturb`] by another action and records that the
    /// disturbance has ended.
    fn restore(
        &self,
        hosts: &[usize],
        cause: Cause,
        mut act: impl FnMut(&mut Host) -> io::Result<()>,
    ) -> io::Result<()> {
        let now = self.harness.borrow().now();
        self.for_each(hosts, |host| {
            host.end_disturbance(now, cause);
            act(host)
        })
    }

    /// Restarts hosts in turn.
    async fn roll(&self, hosts: Vec<usize>) -> io::Result<()> {
        for host in hosts {
            self.restart(host).await?;
            Timer::after(ROLL_PAUSE).await;
        }
        Ok(())
    }

    /// Stops a process as planned and starts its successor.
    async fn restart(&self, host: usize) -> io::Result<()> {
        self.stop(host).await?;
        Timer::after(RESTART_PAUSE).await;
        self.restore(&[host], Cause::Planned, Host::bring_up)
    }

    /// Stops a process without starting a successor.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn stop(&self, host: usize) -> io::Result<()> {
        self.disturb(&[host], Cause::Planned, Host::request_stop)?;
        self.wait_stopped(host).await
    }

    /// Waits until a process that was asked to stop has exited. Records a
    /// violation where it fails, or where it takes longer than the stop bound
    /// although no fault disturbs its host. A process that takes longer is
    /// killed.
    async fn wait_stopped(&self, host: usize) -> io::Result<()> {
        let (asked, limit) = {
            let harness = self.harness.borrow();
            (harness.now(), harness.topology.limits.bounds.stop)
        };
        loop {
            {
                let harness = &mut *self.harness.borrow_mut();
                let now = harness.now();
                let ended = harness.hosts[host].poll_exit()?;
                let is_undisturbed = harness.hosts[host].is_undisturbed_since(asked, Cause::Fault);
                match ended {
                    Some(true) => return Ok(()),
                    Some(false) => {
                        let text = format!("the process of host {host} failed when asked to stop");
                        harness
                            .checker
                            .record_violation(Invariant::Process, now, text);
                        return Ok(());
                    }
                    None if now < asked + limit => {}
                    None => {
                        if is_undisturbed {
                            let text =
                                format!("the process of host {host} did not stop within {limit:?}");
                            harness
                                .checker
                                .record_violation(Invariant::Process, now, text);
                        }
                        // Kills the process and undoes only the kill; the
                        // request to stop keeps the process down.
                        harness.hosts[host].take_down()?;
                        return harness.hosts[host].bring_up();
                    }
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Replaces half of the backend servers of a random service as planned.
    async fn release(&self) -> io::Result<()> {
        let service = {
            let harness = &mut *self.harness.borrow_mut();
            harness.random.usize(..harness.topology.services.len())
        };
        let servers = self.servers_of(service);
        for server in self.sample(servers, 50) {
            if !lifecycle::drain(&self.harness, server).await {
                continue;
            }
            let host = self.harness.borrow().host_of(server);
            self.restart(host).await?;
            lifecycle::start(&self.harness, &self.executor, server);
        }
        Ok(())
    }

    /// Adds or removes a random spare route, and a second random one at the
    /// end; both draws may give the same route.
    async fn route(&self, duration: Duration) -> io::Result<()> {
        self.toggle_route();
        Timer::after(duration).await;
        self.toggle_route();
        Ok(())
    }

    async fn storm(&self, duration: Duration) -> io::Result<()> {
        let steps = duration.as_millis() / STORM_INTERVAL.as_millis();
        for _ in 0..steps {
            self.toggle_route();
            Timer::after(STORM_INTERVAL).await;
        }
        Ok(())
    }

    /// Adds or removes the spare route of a random service; each service has
    /// one.
    fn toggle_route(&self) {
        let harness = &mut *self.harness.borrow_mut();
        let services = harness.topology.services.len();
        let service = harness.random.usize(..services);
        let address = address::service(services + service);
        let mut routes = harness.history.newest();
        if routes.remove(&address).is_none() {
            routes.insert(address, service);
        }
        harness.configure(&routes);
    }

    /// Ends a backend server without notice and gives its address to another
    /// service once the reuse bound has passed.
    async fn reuse(&self) -> io::Result<()> {
        let Some((server, service)) = self.pick_reusable() else {
            return Ok(());
        };
        let host = self.harness.borrow().host_of(server);
        self.disturb(&[host], Cause::Fault, Host::take_down)?;
        self.harness.borrow_mut().server_end(server);
        let reuse = self.harness.borrow().topology.limits.bounds.reuse;
        Timer::after(reuse + REUSE_MARGIN).await;
        {
            let harness = &mut *self.harness.borrow_mut();
            harness.servers[server].service = service;
            let name = harness.topology.services[service].name.clone();
            if let Some(settings) = &mut harness.hosts[host].settings.server {
                settings.service = name;
            }
        }
        self.restore(&[host], Cause::Fault, Host::bring_up)?;
        lifecycle::start(&self.harness, &self.executor, server);
        Ok(())
    }

    /// Returns a random backend server of a service with more than one, and the
    /// service that its address is to serve; `None` where there is no such
    /// backend server or only one service.
    fn pick_reusable(&self) -> Option<(usize, usize)> {
        let harness = &mut *self.harness.borrow_mut();
        let services = harness.topology.services.len();
        let count_servers = |service: usize| {
            let all = harness.servers.iter();
            all.filter(|one| one.service == service).count()
        };
        let all = 0..harness.servers.len();
        let reusable = all.filter(|one| count_servers(harness.servers[*one].service) > 1);
        let reusable: Vec<usize> = reusable.collect();
        if services < 2 || reusable.is_empty() {
            return None;
        }
        let server = reusable[harness.random.usize(..reusable.len())];
        let service = (harness.servers[server].service + 1) % services;
        Some((server, service))
    }

    /// Kills the processes of hosts, and with `with_servers` also ends their
    /// backend servers, as a loss of power does.
    async fn kill(
        &self,
        hosts: Vec<usize>,
        with_servers: bool,
        duration: Duration,
    ) -> io::Result<()> {
        self.disturb(&hosts, Cause::Fault, Host::take_down)?;
        let gateways = self.harness.borrow().topology.gateways;
        let servers = hosts.iter().filter_map(|host| host.checked_sub(gateways));
        let servers: Vec<usize> = servers.filter(|_| with_servers).collect();
        for server in &servers {
            self.harness.borrow_mut().server_end(*server);
        }
        Timer::after(duration).await;
        self.restore(&hosts, Cause::Fault, Host::bring_up)?;
        for server in servers {
            lifecycle::start(&self.harness, &self.executor, server);
        }
        Ok(())
    }

    async fn freeze(&self, hosts: Vec<usize>, duration: Duration) -> io::Result<()> {
        self.disturb(&hosts, Cause::Fault, Host::freeze)?;
        Timer::after(duration).await;
        self.restore(&hosts, Cause::Fault, Host::thaw)
    }

    async fn disturb_links(
        &self,
        percent: usize,
        duration: Duration,
        apply: impl Fn(&mut link::Fault),
    ) -> io::Result<()> {
        let hosts = self.hosts(percent);
        self.disturb(&hosts, Cause::Fault, |host| {
            apply(&mut host.link_fault);
            Ok(())
        })?;
        Timer::after(duration).await;
        self.restore(&hosts, Cause::Fault, |host| {
            host.link_fault = link::Fault::default();
            Ok(())
        })
    }

    async fn disturb_proxies(
        &self,
        duration: Duration,
        apply: impl Fn(&mut proxy::Fault),
    ) -> io::Result<()> {
        let hosts = self.hosts(40);
        self.disturb(&hosts, Cause::Fault, |host| {
            apply(&mut host.proxy_fault);
            Ok(())
        })?;
        Timer::after(duration).await;
        self.restore(&hosts, Cause::Fault, |host| {
            let silence_epoch = host.proxy_fault.silence_epoch;
            host.proxy_fault = proxy::Fault {
                silence_epoch,
                ..proxy::Fault::default()
            };
            Ok(())
        })
    }

    async fn crash(&self, duration: Duration) -> io::Result<()> {
        let count = self.harness.borrow().servers.len();
        let servers = self.sample((0..count).collect(), 20);
        for server in &servers {
            self.harness.borrow_mut().server_end(*server);
        }
        Timer::after(duration).await;
        for server in servers {
            lifecycle::start(&self.harness, &self.executor, server);
        }
        Ok(())
    }
}
