//! Plays one run.
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
use crate::address::READY;
use crate::address::socket;
use crate::host::Cause;
use crate::host::Host;
use crate::judge::Judge;
use crate::judge::Promise;
use crate::life;
use crate::plan::Trouble;
use crate::shape::Shape;
use crate::sockets;
use crate::trouble::Maker;
use crate::tunnel;
use crate::world::Shared;
use crate::world::World;

/// Time between two looks of callers and backend servers at what is due.
const TICK: Duration = Duration::from_millis(5);

/// Time between two questions whether a gateway takes traffic.
const PROBE: Duration = Duration::from_millis(500);

/// Questions without an answer after which a gateway is sent nothing more.
const MISSES: u32 = 2;

/// Longest time that processes have to get ready before callers begin.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time between two looks whether they are ready, and for which they then run.
const SETTLE: Duration = Duration::from_secs(1);

/// Time at the end of a run in which service is measured.
const MEASURED: Duration = Duration::from_secs(4);

/// Share of the tasks begun in that time that are to be served.
const LEAST_SERVED: f64 = 0.25;

/// Time between two looks whether processes have ended by themselves.
const WATCH: Duration = Duration::from_millis(200);

/// What a thread of a process writes when it fails.
const PANIC: &str = "panicked at";

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The deployment.
    pub shape: Shape,
    /// Its troubles.
    pub troubles: Vec<Trouble>,
    /// Its addresses.
    pub network: Network,
    /// Where files and logs are kept.
    pub folder: PathBuf,
}

/// What came of it.
#[derive(Debug)]
pub struct Result {
    /// What was seen.
    pub judge: Judge,
    /// Share of the tasks that were served, in the whole run and at its end.
    pub served: (f64, f64),
    /// Calls that the store received.
    pub calls: u64,
}

/// Plays one run.
///
/// # Errors
///
/// The operating system's error where something cannot be started.
pub fn play(plan: &Plan) -> io::Result<Result> {
    let common = Arc::new(Executor::new());
    let local = Rc::new(LocalExecutor::new());
    let playing = prepare_and_play(plan, Arc::clone(&common), Rc::clone(&local));
    smol::block_on(local.run(common.run(playing)))
}

async fn prepare_and_play(
    plan: &Plan,
    common: Arc<Executor<'static>>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<Result> {
    fs::create_dir_all(&plan.folder)?;
    let store = Store::start(plan.network.store(), &common).await?;
    let world = World::new(plan.shape.clone(), plan.network, &plan.folder, store)?;
    let world = Rc::new(RefCell::new(world));
    let result = play_in(&world, plan, executor).or(stopped()).await;
    // Nothing outlives the run, however it ended.
    let hosts = &mut world.borrow_mut().hosts;
    hosts.iter_mut().try_for_each(Host::take_down)?;
    result
}

/// Waits for a signal that asks the soak to stop.
async fn stopped() -> io::Result<Result> {
    stop::requested().await?;
    Err(io::Error::from(io::ErrorKind::Interrupted))
}

async fn play_in(
    world: &Shared,
    plan: &Plan,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<Result> {
    serve_sockets(world, &executor);
    serve_tunnels(world, &executor).await?;
    {
        let world = &mut *world.borrow_mut();
        let services = world.shape.services.len();
        let routes = (0..2 * services).map(|route| (address::service(route), route % services));
        world.configure(&routes.collect());
        world.hosts.iter_mut().try_for_each(Host::start)?;
    }
    for server in 0..plan.shape.servers() {
        life::start(world, &executor, server);
    }
    for gateway in 0..plan.shape.gateways {
        executor.spawn(probe(Rc::clone(world), gateway)).detach();
    }
    while !is_ready(world) && world.borrow().now() < WARM_UP {
        Timer::after(SETTLE).await;
    }
    Timer::after(SETTLE).await;
    executor.spawn(tick(Rc::clone(world))).detach();
    executor.spawn(watch(Rc::clone(world))).detach();
    let maker = Maker {
        world: Rc::clone(world),
        executor: Rc::clone(&executor),
    };
    make(&maker, &executor, &plan.troubles).await?;
    Timer::after(plan.shape.limits.recovery + MEASURED).await;
    finish(world, &executor, &maker).await
}

/// Whether all gateways take traffic.
fn is_ready(world: &Shared) -> bool {
    world.borrow().rotation.iter().all(|is_ready| *is_ready)
}

/// Lets all troubles happen at their times and waits for their ends.
async fn make(
    maker: &Maker,
    executor: &Rc<LocalExecutor<'static>>,
    troubles: &[Trouble],
) -> io::Result<()> {
    let tasks: Vec<_> = troubles
        .iter()
        .map(|trouble| {
            let (maker, trouble) = (maker.clone(), *trouble);
            executor.spawn(async move {
                Timer::after(trouble.at).await;
                maker.make(trouble).await
            })
        })
        .collect();
    for task in tasks {
        task.await?;
    }
    Ok(())
}

/// Ends a run: measures service, stops all processes and reads their logs.
async fn finish(
    world: &Shared,
    executor: &Rc<LocalExecutor<'static>>,
    maker: &Maker,
) -> io::Result<Result> {
    world.borrow_mut().callers.stop();
    let longest = {
        let world = world.borrow();
        let services = world.shape.services.iter();
        services.map(|service| service.deadline).max()
    };
    let end = world.borrow().now();
    Timer::after(longest.unwrap_or_default()).await;
    let hosts = 0..world.borrow().hosts.len();
    let stops: Vec<_> = hosts
        .map(|host| {
            let maker = maker.clone();
            executor.spawn(async move { maker.stop(host).await })
        })
        .collect();
    for stop in stops {
        stop.await?;
    }
    let world = &mut *world.borrow_mut();
    let outcomes = &world.callers.outcomes;
    let all = share(outcomes.iter().map(|(_, served)| *served));
    let last = outcomes
        .iter()
        .filter(|(begun, _)| *begun + MEASURED >= end);
    let last = share(last.map(|(_, served)| *served));
    if last < LEAST_SERVED {
        let text = format!("{last:.2} of the last tasks were served");
        world.judge.breach(Promise::Recovered, end, text);
    }
    for host in &world.hosts {
        let log = fs::read_to_string(host.log()).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains(PANIC)) {
            let text = format!("{}: {line}", host.settings.name);
            world.judge.breach(Promise::Process, end, text);
        }
    }
    Ok(Result {
        judge: std::mem::take(&mut world.judge),
        served: (all, last),
        calls: world.store.calls(),
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

fn serve_sockets(world: &Shared, executor: &Rc<LocalExecutor<'static>>) {
    let sockets = &world.borrow().sockets;
    for socket in &sockets.callers {
        let world = Rc::clone(world);
        let handle = move |from, packet: &[u8]| world.borrow_mut().caller_packet(from, packet);
        executor
            .spawn(sockets::read(Rc::clone(socket), handle))
            .detach();
    }
    for (number, socket) in sockets.servers.iter().enumerate() {
        let world = Rc::clone(world);
        let handle = move |_, packet: &[u8]| world.borrow_mut().server_packet(number, packet);
        executor
            .spawn(sockets::read(Rc::clone(socket), handle))
            .detach();
    }
    for (to, socket) in sockets.links.iter().enumerate() {
        let (world, later) = (Rc::clone(world), Rc::clone(executor));
        let handle = move |from, frame: &[u8]| {
            let passage = world.borrow_mut().frame(to, from);
            match passage {
                Some((from, Duration::ZERO)) => world.borrow().sockets.send_frame(from, to, frame),
                Some((from, delay)) => {
                    let (world, frame) = (Rc::clone(&world), frame.to_vec());
                    let sending = async move {
                        Timer::after(delay).await;
                        world.borrow().sockets.send_frame(from, to, &frame);
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

async fn serve_tunnels(world: &Shared, executor: &Rc<LocalExecutor<'static>>) -> io::Result<()> {
    let hosts = world.borrow().hosts.len();
    for host in 0..hosts {
        let (link, store) = {
            let world = world.borrow();
            (world.network.store_link(host), world.store.address)
        };
        let listener = TcpListener::bind(link).await?;
        let world = Rc::clone(world);
        let look = Rc::new(move || world.borrow().hosts[host].tunnel);
        let serving = tunnel::run(listener, store, look, Rc::clone(executor));
        executor.spawn(serving).detach();
    }
    Ok(())
}

/// Lets callers and backend servers do what is due.
async fn tick(world: Shared) {
    loop {
        {
            let world = &mut *world.borrow_mut();
            world.callers_tick();
            for server in 0..world.servers.len() {
                world.server_tick(server);
            }
        }
        Timer::after(TICK).await;
    }
}

/// Asks a gateway whether it takes traffic.
async fn probe(world: Shared, gateway: usize) {
    let address = socket(world.borrow().network.own(gateway), READY);
    let mut misses = MISSES;
    loop {
        let is_ready = call::is_ready(address, PROBE).await;
        misses = if is_ready {
            0
        } else {
            misses.saturating_add(1)
        };
        world.borrow_mut().rotation[gateway] = misses < MISSES;
        Timer::after(PROBE).await;
    }
}

/// Notes processes that end by themselves.
async fn watch(world: Shared) {
    loop {
        {
            let world = &mut *world.borrow_mut();
            let now = world.now();
            for host in 0..world.hosts.len() {
                if !world.hosts[host].has_ended_unasked() {
                    continue;
                }
                world.judge.count("processes that ended by themselves");
                if world.hosts[host].is_calm_since(now, Cause::Planned) {
                    let text = format!("the process of host {host} ended by itself");
                    world.judge.breach(Promise::Process, now, text);
                }
                // The platform starts such a process again.
                if let Err(error) = world.hosts[host].start() {
                    let text = format!("host {host} did not start again: {error}");
                    world.judge.breach(Promise::Process, now, text);
                }
            }
        }
        Timer::after(WATCH).await;
    }
}
