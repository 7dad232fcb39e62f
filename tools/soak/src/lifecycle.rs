//! Starts, drains and ends backend servers.
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_io::Timer;
use futures_lite::FutureExt;
use platform_standin::call;
use platform_standin::call::Announcement;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::address::ANNOUNCEMENT_PORT;
use crate::address::socket;
use crate::harness::Shared;
use crate::server::Instance;

/// Time-out of the acknowledgement of an announcement.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a draining backend server waits for an
/// acknowledgement.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Warm-up time that a backend server announces.
const WARM_UP: Duration = Duration::from_secs(2);

/// Pause between two attempts to get an acknowledgement.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which a backend server that listens checks whether it still runs.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest pause between two announcements, relative to the heartbeat, and the range of
/// the pauses.
const MIN_HEARTBEAT: f64 = 0.7;
const HEARTBEAT_SPREAD: f64 = 0.4;

/// Starts a backend server, which announces itself about every heartbeat until it
/// ends.
pub fn start(harness: &Shared, executor: &LocalExecutor<'static>, number: usize) {
    let start = {
        let harness = &mut *harness.borrow_mut();
        let server = &mut harness.servers[number];
        if server.instance.is_some() {
            return;
        }
        server.starts += 1;
        let service = &harness.topology.services[server.service];
        let announcement = Announcement {
            name: format!("server-{number}-{}", server.starts),
            service: service.name.clone(),
            address: server.address,
            slots: service.slots,
            is_draining: false,
            warm_up: WARM_UP,
            sequence: harness.topology.origins.sequence,
            start: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        };
        server.instance = Some(Instance::new(announcement));
        server.starts
    };
    if harness.borrow().topology.origins.listens {
        executor
            .spawn(accept_health_checks(harness.clone(), number, start))
            .detach();
    }
    let harness = harness.clone();
    executor
        .spawn(async move {
            let heartbeat = harness.borrow().topology.limits.bounds.heartbeat;
            while is_running(&harness, number, start) {
                announce(&harness, number).await;
                let pause = MIN_HEARTBEAT + fastrand::f64() * HEARTBEAT_SPREAD;
                Timer::after(heartbeat.mul_f64(pause)).await;
            }
        })
        .detach();
}

/// Accepts connections at a backend server's address, and closes them, until it ends.
async fn accept_health_checks(harness: Shared, number: usize, start: u32) {
    let address = harness.borrow().servers[number].address;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            // The listener of the instance before may not have been closed yet.
            Err(_) if is_running(&harness, number, start) => {
                Timer::after(LISTEN_POLL_INTERVAL).await;
            }
            Err(_) => return,
        }
    };
    while is_running(&harness, number, start) {
        let accept = async { listener.accept().await.map(drop) };
        let pause = async {
            Timer::after(LISTEN_POLL_INTERVAL).await;
            Ok(())
        };
        if let Err(error) = accept.or(pause).await {
            eprintln!("cannot accept connections at {address}: {error}");
        }
    }
}

/// Returns whether a backend server still runs since its start of the number
/// `start`.
fn is_running(harness: &Shared, number: usize, start: u32) -> bool {
    let server = &harness.borrow().servers[number];
    server.instance.is_some() && server.starts == start
}

/// Announces a backend server to its sidecar; returns whether the sidecar
/// acknowledged it.
async fn announce(harness: &Shared, number: usize) -> bool {
    let (to, announcement) = {
        let harness = &mut *harness.borrow_mut();
        let to = harness.network.process(harness.host_of(number));
        let Some(instance) = &mut harness.servers[number].instance else {
            return false;
        };
        let announcement = instance.announcement.clone();
        instance.announcement.sequence += 1;
        (socket(to, ANNOUNCEMENT_PORT), announcement)
    };
    call::announce(to, &announcement, ACKNOWLEDGE_TIMEOUT).await
}

/// Drains and ends a backend server as planned. Returns false where it does not
/// run or ends or restarts meanwhile.
pub async fn drain(harness: &Shared, number: usize) -> bool {
    let start = {
        let server = &mut harness.borrow_mut().servers[number];
        let Some(instance) = &mut server.instance else {
            return false;
        };
        instance.announcement.is_draining = true;
        server.starts
    };
    let asked = harness.borrow().now();
    while is_running(harness, number, start) && harness.borrow().now() < asked + DRAIN_TIMEOUT {
        if announce(harness, number).await {
            let harness = &mut *harness.borrow_mut();
            let now = harness.now();
            if let Some(instance) = &mut harness.servers[number].instance {
                instance.drained = Some(now);
            }
            break;
        }
        Timer::after(RETRY_PAUSE).await;
    }
    let extra = harness.borrow_mut().random.f64();
    let wait = harness.borrow().topology.limits.drain.mul_f64(1.0 + extra);
    Timer::after(wait).await;
    if !is_running(harness, number, start) {
        return false;
    }
    let (to, name) = {
        let harness = harness.borrow();
        let to = socket(
            harness.network.process(harness.host_of(number)),
            ANNOUNCEMENT_PORT,
        );
        (to, format!("server-{number}-{start}"))
    };
    call::deregister(to, &name, ACKNOWLEDGE_TIMEOUT).await;
    harness.borrow_mut().server_end(number);
    true
}
