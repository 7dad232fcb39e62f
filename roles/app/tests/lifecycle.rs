//! Tests of the stop of a gateway or sidecar.
use std::time::Duration;
use std::time::Instant;

use app::forwarder::lifecycle;
use app::settings::table::Role;

/// Longest time that a process may take to end.
const GRACE: Duration = Duration::from_secs(6);

/// A control thread without processor time does not empty its queue.
#[test]
fn a_stop_does_not_wait_for_a_busy_control_thread() {
    let (sender, receiver) = async_channel::bounded(1);
    sender.try_send(0).unwrap();
    let start = Instant::now();
    smol::block_on(lifecycle::notify_stop(Role::Gateway, &sender, 1));
    assert!(start.elapsed() < GRACE);
    assert_eq!(receiver.try_recv(), Ok(0));
}

#[test]
fn a_stop_reaches_a_control_thread_that_listens() {
    let (sender, receiver) = async_channel::bounded(1);
    smol::block_on(lifecycle::notify_stop(Role::Sidecar, &sender, 1));
    assert_eq!(receiver.try_recv(), Ok(1));
}
