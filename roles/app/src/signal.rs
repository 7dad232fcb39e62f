//! Signals of the operating system.
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: stop and leave for good.
    Stop,
    /// SIGHUP: make room for a successor on the same host.
    Replace,
}

/// Returns the signals that this process receives from now on.
#[must_use]
pub fn watch() -> Receiver<Signal> {
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
