//! Signals of the operating system.
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Request that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: stop and leave for good.
    Stop,
    /// SIGHUP: hand over to a successor on the same host.
    Replace,
}

/// Returns a channel of the signals that this process receives from now on. The
/// channel is closed at once if the handlers cannot be installed.
#[must_use]
pub fn subscribe() -> Receiver<Signal> {
    let (sender, receiver) = async_channel::unbounded();
    let Ok(mut signals) = Signals::new([SIGTERM, SIGINT, SIGHUP]) else {
        return receiver;
    };
    thread::spawn(move || {
        for signal in &mut signals {
            let signal = match signal {
                SIGHUP => Signal::Replace,
                _ => Signal::Stop,
            };
            if sender.send_blocking(signal).is_err() {
                return;
            }
        }
    });
    receiver
}
