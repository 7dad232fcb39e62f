//! Executes one run.
use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use platform_standin::Store;
use platform_standin::call;
use smol::Executor;
use smol::LocalExecutor;
use smol::net::TcpListener;
use standin::stop;

use crate::address;
use crate::address::Network;
use crate::address::READY_PORT;
use crate::address::socket;
use crate::checker::Checker;
use crate::checker::Invariant;
use crate::harness::Harness;
use crate::harness::Shared;
use crate::host::Cause;
use crate::host::Host;
use crate::injector::Injector;
use crate::lifecycle;
use crate::plan::Disturbance;
use crate::proxy;
use crate::sockets;
use crate::topology::Topology;

/// Interval at which callers and backend servers do what is due.
const TICK: Duration = Duration::from_millis(5);

/// Interval and time-out of the readiness probes of a gateway.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed probes after which a gateway leaves the
/// rotation.
const MISS_LIMIT: u32 = 2;

/// Longest wait for all gateways to become ready; callers start afterwards in
/// any case.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the readiness of all gateways is checked, and pause
/// between their readiness and the start of the callers.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time at the end of a run over which the share of served tasks is measured.
const MEASURED_TIME: Duration = Duration::from_secs(4);

/// Smallest share of the tasks started in that time that has to be served.
const MIN_SERVED: f64 = 0.25;

/// Interval at which processes are checked for unexpected exits.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Text that a process logs when one of its threads panics.
const PANIC_TEXT: &str = "panicked at";

/// Description of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Deployment under test.
    pub topology: Topology,
    /// Disturbances to inject.
    pub disturbances: Vec<Disturbance>,
    /// Loopback network of the deployment.
    pub network: Network,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct Summary {
    /// Observations and violations.
    pub checker: Checker,
    /// Share of the tasks that were served, in the whole run and at its end.
    pub served: (f64, f64),
    /// Number of calls that the store received.
    pub store_calls: u64,
}

/// Executes one run.
///
/// # Errors
///
/// The operating system's error where something cannot be started.
pub fn execute(plan: &Plan) -> io::Result<Summary> {
    let store_executor = Arc::new(Executor::new());
    let local = Rc::new(LocalExecutor::new());
    let running = prepare_and_run(plan, Arc::clone(&store_executor), Rc::clone(&local));
    smol::block_on(local.run(store_executor.run(running)))
}

async fn prepare_and_run(
    plan: &Plan,
    store_executor: Arc<Executor<'static>>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<Summary> {
    fs::create_dir_all(&plan.folder)?;
    let store = Store::start(plan.network.store(), &store_executor).await?;
    let harness = Harness::new(plan.topology.clone(), plan.network, &plan.folder, store)?;
    let harness = Rc::new(RefCell::new(harness));
    let result = run_in(&harness, plan, executor).or(interrupted()).await;
    // Kills all processes, also where the run failed or was interrupted.
    let hosts = &mut harness.borrow_mut().hosts;
    hosts.iter_mut().try_for_each(Host::take_down)?;
    result
}

/// Waits for a signal that asks the soak to stop, and fails then.
async fn interrupted() -> io::Result<Summary> {
    stop::requested().await?;
    Err(io::Error::from(io::ErrorKind::Interrupted))
}

async fn run_in(
    harness: &Shared,
    plan: &Plan,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<Summary> {
    serve_sockets(harness, &executor);
    serve_proxies(harness, &executor).await?;
    {
        let harness = &mut *harness.borrow_mut();
        let services = harness.topology.services.len();
        let routes = (0..2 * services).map(|route| (address::service(route), route % services));
        harness.configure(&routes.collect());
        harness.hosts.iter_mut().try_for_each(Host::start)?;
    }
    for server in 0..plan.topology.servers() {
        lifecycle::start(harness, &executor, server);
    }
    for gateway in 0..plan.topology.gateways {
        executor.spawn(probe(Rc::clone(harness), gateway)).detach();
    }
    while !are_gateways_ready(harness) && harness.borrow().now() < READY_TIMEOUT {
        Timer::after(SETTLE_TIME).await;
    }
    Timer::after(SETTLE_TIME).await;
    executor.spawn(tick(Rc::clone(harness))).detach();
    executor.spawn(watch_processes(Rc::clone(harness))).detach();
    let injector = Injector {
        harness: Rc::clone(harness),
        executor: Rc::clone(&executor),
    };
    inject_all(&injector, &executor, &plan.disturbances).await?;
    Timer::after(plan.topology.limits.recovery + MEASURED_TIME).await;
    finish(harness, &executor, &injector).await
}

/// Returns whether all gateways are ready.
fn are_gateways_ready(harness: &Shared) -> bool {
    harness.borrow().rotation.iter().all(|is_ready| *is_ready)
}

/// Injects each disturbance at its time and waits until all have ended.
async fn inject_all(
    injector: &Injector,
    executor: &Rc<LocalExecutor<'static>>,
    disturbances: &[Disturbance],
) -> io::Result<()> {
    let tasks: Vec<_> = disturbances
        .iter()
        .map(|disturbance| {
            let (injector, disturbance) = (injector.clone(), *disturbance);
            executor.spawn(async move {
                Timer::after(disturbance.at).await;
                injector.inject(disturbance).await
            })
        })
        .collect();
    for task in tasks {
        task.await?;
    }
    Ok(())
}

/// Ends a run: measures the served share, stops all processes and searches
/// their logs for panics.
async fn finish(
    harness: &Shared,
    executor: &Rc<LocalExecutor<'static>>,
    injector: &Injector,
) -> io::Result<Summary> {
    harness.borrow_mut().callers.stop();
    let longest = {
        let harness = harness.borrow();
        let services = harness.topology.services.iter();
        services.map(|service| service.deadline).max()
    };
    let end = harness.borrow().now();
    Timer::after(longest.unwrap_or_default()).await;
    let hosts = 0..harness.borrow().hosts.len();
    let stops: Vec<_> = hosts
        .map(|host| {
            let injector = injector.clone();
            executor.spawn(async move { injector.stop(host).await })
        })
        .collect();
    for stop in stops {
        stop.await?;
    }
    let harness = &mut *harness.borrow_mut();
    let outcomes = &harness.callers.outcomes;
    let all = share(outcomes.iter().map(|(_, served)| *served));
    let last = outcomes
        .iter()
        .filter(|(begun, _)| *begun + MEASURED_TIME >= end);
    let last = share(last.map(|(_, served)| *served));
    if last < MIN_SERVED {
        let text =
            format!("only {last:.2} of the last tasks were served; at least {MIN_SERVED} required");
        harness
            .checker
            .record_violation(Invariant::Recovered, end, text);
    }
    for host in &harness.hosts {
        let log = fs::read_to_string(host.log()).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains(PANIC_TEXT)) {
            let text = format!("{}: {line}", host.settings.name);
            harness
                .checker
                .record_violation(Invariant::Process, end, text);
        }
    }
    Ok(Summary {
        checker: std::mem::take(&mut harness.checker),
        served: (all, last),
        store_calls: harness.store.calls(),
    })
}

fn share(served: impl Iterator<Item = bool>) -> f64 {
    let (mut yes, mut all) = (0.0, 0.0);
    for one in served {
        all += 1.0;
        yes += if one { 1.0 } else { 0.0 };
    }
    if all > 0.0 { yes / all } else { 0.0 }
}

fn serve_sockets(harness: &Shared, executor: &Rc<LocalExecutor<'static>>) {
    let sockets = &harness.borrow().sockets;
    for socket in &sockets.callers {
        let harness = Rc::clone(harness);
        let handle =
            move |from, packet: &[u8]| harness.borrow_mut().receive_at_caller(from, packet);
        executor
            .spawn(sockets::read(Rc::clone(socket), handle))
            .detach();
    }
    for (number, socket) in sockets.servers.iter().enumerate() {
        let harness = Rc::clone(harness);
        let handle = move |_, packet: &[u8]| harness.borrow_mut().receive_at_server(number, packet);
        executor
            .spawn(sockets::read(Rc::clone(socket), handle))
            .detach();
    }
    for (to, socket) in sockets.links.iter().enumerate() {
        let (harness, later) = (Rc::clone(harness), Rc::clone(executor));
        let handle = move |from, frame: &[u8]| {
            let frame_delay = harness.borrow_mut().frame_delay(to, from);
            match frame_delay {
                Some((from, Duration::ZERO)) => {
                    harness.borrow().sockets.send_frame(from, to, frame);
                }
                Some((from, delay)) => {
                    let (harness, frame) = (Rc::clone(&harness), frame.to_vec());
                    let sending = async move {
                        Timer::after(delay).await;
                        harness.borrow().sockets.send_frame(from, to, &frame);
                    };
                    later.spawn(sending).detach();
                }
                None => {}
            }
        };
        executor
            .spawn(sockets::read(Rc::clone(socket), handle))
            .detach();
    }
}

async fn serve_proxies(harness: &Shared, executor: &Rc<LocalExecutor<'static>>) -> io::Result<()> {
    let hosts = harness.borrow().hosts.len();
    for host in 0..hosts {
        let (link, store) = {
            let harness = harness.borrow();
            (harness.network.store_link(host), harness.store.address)
        };
        let listener = TcpListener::bind(link).await?;
        let harness = Rc::clone(harness);
        let faults = Rc::new(move || harness.borrow().hosts[host].proxy_fault);
        let serving = proxy::run(listener, store, faults, Rc::clone(executor));
        executor.spawn(serving).detach();
    }
    Ok(())
}

/// Makes callers and backend servers do what is due, every [`TICK`].
async fn tick(harness: Shared) {
    loop {
        {
            let harness = &mut *harness.borrow_mut();
            harness.callers_tick();
            for server in 0..harness.servers.len() {
                harness.server_tick(server);
            }
        }
        Timer::after(TICK).await;
    }
}

/// Probes the readiness of a gateway and updates the rotation.
async fn probe(harness: Shared, gateway: usize) {
    let address = socket(harness.borrow().network.process(gateway), READY_PORT);
    let mut misses = MISS_LIMIT;
    loop {
        let is_ready = call::is_ready(address, PROBE_INTERVAL).await;
        misses = if is_ready {
            0
        } else {
            misses.saturating_add(1)
        };
        harness.borrow_mut().rotation[gateway] = misses < MISS_LIMIT;
        Timer::after(PROBE_INTERVAL).await;
    }
}

/// Watches for processes that exit unexpectedly, and restarts them.
async fn watch_processes(harness: Shared) {
    loop {
        {
            let harness = &mut *harness.borrow_mut();
            let now = harness.now();
            for host in 0..harness.hosts.len() {
                if !harness.hosts[host].has_exited_unexpectedly() {
                    continue;
                }
                harness.checker.count("processes that exited unexpectedly");
                if harness.hosts[host].is_undisturbed_since(now, Cause::Planned) {
                    let text =
                        format!("the process of host {host} exited unexpectedly; see its log");
                    harness
                        .checker
                        .record_violation(Invariant::Process, now, text);
                }
                // The platform restarts such a process too.
                if let Err(error) = harness.hosts[host].start() {
                    let text =
                        format!("the process of host {host} could not be restarted: {error}");
                    harness
                        .checker
                        .record_violation(Invariant::Process, now, text);
                }
            }
        }
        Timer::after(WATCH_INTERVAL).await;
    }
}
