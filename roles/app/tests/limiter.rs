//! Test of the rate limit of the log. It has its own file because a process can
//! install only one logger.
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use app::event::Event;
use app::forwarder::event::Limiter;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

/// Logger that counts the lines it receives.
struct Counter(AtomicUsize);

static LINES: Counter = Counter(AtomicUsize::new(0));

impl Log for Counter {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, _: &Record<'_>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn flush(&self) {}
}

/// Logs an event `per_second` times a second and returns the number of lines that
/// reached the logger.
fn lines(limiter: &Limiter, seconds: u64, per_second: u64, event: &Event) -> usize {
    let before = LINES.0.load(Ordering::Relaxed);
    for number in 0..seconds * per_second {
        let now = Duration::from_micros(number * 1_000_000 / per_second);
        limiter.log(now, event);
    }
    LINES.0.load(Ordering::Relaxed) - before
}

#[test]
fn each_kind_of_event_is_rate_limited_and_warnings_get_a_higher_rate() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let dropped = Event::PacketDropped {
        reason: "lost".into(),
    };
    let lost = Event::FlowLost {
        rounds: 3,
        flow: "100.64.0.7:40001>198.18.0.1:443".into(),
    };
    let few = lines(&Limiter::default(), 10, 5, &dropped);
    assert_eq!(few, 50);
    let many = lines(&Limiter::default(), 10, 5_000, &dropped);
    assert!((200..=270).contains(&many), "{many}");
    let warnings = lines(&Limiter::default(), 10, 5_000, &lost);
    assert!(warnings > 2 * many, "{warnings} warnings, {many} others");
}
