//! Pacing of a network link: the load that it is made for, and each failure.
mod fixtures;

use std::time::Duration;

use fixtures::uplink::Load;
use fixtures::uplink::play;
use limit::link::Change;
use limit::link::Class;
use limit::link::Link;
use limit::link::Offer;
use limit::link::Outcome;
use limit::link::Packet;

/// 10 Mbit/s in bytes per second.
const RATE: f64 = 1_250_000.0;

/// Size of a full packet on the link.
const FULL: usize = 1_300;

const START: Duration = Duration::ZERO;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn packet(class: Class, key: Option<u64>) -> Packet {
    Packet {
        class,
        bytes: FULL,
        key,
        flow: None,
    }
}

/// Returns true if the link sends a packet at once.
fn admits(link: &mut Link<u32>, now: Duration, packet: Packet) -> bool {
    link.offer(now, packet) == Offer::Send
}

/// Offers a packet that is expected to wait.
fn enqueue(link: &mut Link<u32>, now: Duration, packet: Packet, item: u32) -> Outcome {
    match link.offer(now, packet) {
        Offer::Wait(place) => link.enqueue(now, place, item),
        Offer::Send => panic!("{packet:?} did not wait"),
    }
}

/// Returns a link whose burst is used up.
fn busy_link() -> Link<u32> {
    let mut link = Link::new(RATE, START);
    while admits(&mut link, START, packet(Class::Control, None)) {}
    link
}

/// Runs the sender from one time to another and returns what it sends.
fn drain(link: &mut Link<u32>, from: Duration, to: Duration) -> Vec<u32> {
    let mut sent = Vec::new();
    let mut now = from;
    while now <= to {
        while let Some(taken) = link.take(now) {
            sent.push(taken.item);
        }
        now += ms(1);
    }
    sent
}

#[test]
fn uploads_beyond_the_rate_delay_nothing_else() {
    let before = play(&Load::default(), false);
    let after = play(&Load::default(), true);
    println!("before: {before:?}\nafter: {after:?}");
    for class in [Class::Control, Class::Opening, Class::Urgent] {
        let (before, after) = (&before[&class], &after[&class]);
        assert!(before.late_share() > 0.1, "{class:?} before: {before:?}");
        assert!(after.late_share() < 0.01, "{class:?} after: {after:?}");
        assert!(after.slowest < ms(60), "{class:?} after: {after:?}");
    }
    // Uploads that would not end must not use what others need.
    let (before, after) = (&before[&Class::Bulk], &after[&Class::Bulk]);
    assert!(after.done >= before.done, "{before:?} {after:?}");
    assert!(after.prompt >= before.prompt, "{before:?} {after:?}");
}

#[test]
fn uploads_below_the_rate_wait_for_nothing() {
    let load = Load {
        uploads_per_s: 8.0,
        ..Load::default()
    };
    let after = play(&load, true);
    let uploads = &after[&Class::Bulk];
    assert!(uploads.late_share() < 0.01, "{uploads:?}");
}

#[test]
fn packets_are_sent_at_once_while_the_link_has_room() {
    let mut link: Link<u32> = Link::new(RATE, START);
    for step in 0..1_000 {
        assert!(
            admits(&mut link, ms(step * 2), packet(Class::Bulk, None)),
            "{step}"
        );
    }
    assert_eq!(link.due(), None);
}

#[test]
fn waiting_packets_are_sent_by_class() {
    let mut link = busy_link();
    let order = [
        Class::Bulk,
        Class::Data,
        Class::Urgent,
        Class::Opening,
        Class::Control,
    ];
    for (item, class) in (0..).zip(order) {
        enqueue(&mut link, START, packet(class, None), item);
    }
    assert_eq!(drain(&mut link, START, ms(100)), [4, 3, 2, 1, 0]);
}

/// A receiver may drop what comes out of order, although later packets of a flow are
/// of one that has got further.
#[test]
fn packets_of_a_flow_keep_their_order() {
    let mut link: Link<u32> = Link::new(RATE, START);
    let part = Packet {
        flow: Some(1),
        ..packet(Class::Data, None)
    };
    for step in 0..20 {
        assert!(admits(&mut link, ms(step * 2), part));
    }
    while admits(&mut link, ms(40), packet(Class::Control, None)) {}
    for item in 0..16 {
        enqueue(&mut link, ms(40), part, item);
    }
    let mut sent = Vec::new();
    let mut now = ms(40);
    while sent.len() < 60 {
        now += ms(1);
        // The receiver's acknowledgement lets the next one out.
        if let Some(taken) = link.take(now) {
            sent.push(taken.item);
            let next = 15 + u32::try_from(sent.len()).unwrap();
            enqueue(&mut link, now, part, next);
        }
    }
    assert!(sent.iter().copied().eq(0..60), "{sent:?}");
}

#[test]
fn more_important_packets_do_not_starve_others() {
    let mut link = busy_link();
    enqueue(&mut link, START, packet(Class::Bulk, None), 9);
    let mut sent = Vec::new();
    for step in 0..100 {
        enqueue(&mut link, ms(step), packet(Class::Urgent, None), 0);
        sent.extend(link.take(ms(step)).map(|taken| taken.item));
    }
    assert!(sent.contains(&9));
}

#[test]
fn control_is_sent_at_once_while_data_waits() {
    let mut link: Link<u32> = Link::new(RATE, START);
    while admits(&mut link, START, packet(Class::Data, None)) {}
    enqueue(&mut link, START, packet(Class::Data, None), 0);
    assert!(admits(&mut link, START, packet(Class::Control, None)));
    assert!(!admits(&mut link, START, packet(Class::Opening, None)));
}

#[test]
fn copy_of_a_waiting_packet_takes_its_place() {
    let mut link = busy_link();
    enqueue(&mut link, START, packet(Class::Data, Some(7)), 1);
    enqueue(&mut link, START, packet(Class::Data, Some(8)), 2);
    assert!(!admits(&mut link, ms(50), packet(Class::Data, Some(7))));
    let outcome = enqueue(&mut link, ms(50), packet(Class::Data, Some(7)), 3);
    assert_eq!(outcome, Outcome::Replaced);
    assert_eq!(drain(&mut link, ms(50), ms(100)), [3, 2]);
    // Once sent, it may have been lost.
    assert!(admits(&mut link, ms(200), packet(Class::Data, Some(7))));
}

#[test]
fn copy_of_another_class_is_not_sent_beside_a_waiting_packet() {
    let mut link = busy_link();
    enqueue(&mut link, START, packet(Class::Bulk, Some(7)), 1);
    assert!(!admits(&mut link, ms(50), packet(Class::Data, Some(7))));
    assert!(admits(&mut link, ms(50), packet(Class::Data, Some(8))));
}

#[test]
fn data_that_fills_its_queue_drops_no_control() {
    let mut link = busy_link();
    let mut full = 0;
    for item in 0..5_000 {
        let outcome = enqueue(&mut link, START, packet(Class::Data, None), item);
        full += u32::from(outcome == Outcome::Full);
    }
    assert!(full > 0);
    let outcome = enqueue(&mut link, START, packet(Class::Control, None), 0);
    assert_eq!(outcome, Outcome::Waits);
    assert_eq!(link.counts(Class::Control).full, 0);
}

/// A process with a tenth of a core runs once in 100 ms.
#[test]
fn sender_that_runs_rarely_uses_the_whole_rate() {
    let mut link = busy_link();
    let mut sent = 0;
    for step in 0..2_000 {
        // Each millisecond brings as much as the link bears.
        enqueue(&mut link, ms(step), packet(Class::Data, None), 0);
        if step % 100 == 99 {
            sent += std::iter::from_fn(|| link.take(ms(step))).count();
        }
    }
    // 2 s at 95% of 1.25 MB/s are 1,826 packets.
    assert!(sent > 1_700, "{sent}");
}

#[test]
fn time_in_the_queue_is_bounded() {
    let mut link = busy_link();
    for class in Class::ALL {
        enqueue(&mut link, START, packet(class, None), 0);
    }
    assert_eq!(link.take(ms(1_000)), None);
    let late: u64 = Class::ALL.map(|class| link.counts(class).late).iter().sum();
    assert_eq!(late, 5);
}

#[test]
fn stalled_sender_is_noticed() {
    let mut link = busy_link();
    enqueue(&mut link, START, packet(Class::Data, None), 0);
    assert!(!link.is_stalled(START));
    assert!(link.is_stalled(ms(100)));
    // Neither does what others offer meanwhile hide it, nor an idle time before.
    enqueue(&mut link, ms(100), packet(Class::Data, None), 0);
    assert!(link.is_stalled(ms(100)));
    drain(&mut link, ms(100), ms(200));
    while admits(&mut link, ms(900), packet(Class::Data, None)) {}
    enqueue(&mut link, ms(900), packet(Class::Data, None), 0);
    assert!(!link.is_stalled(ms(905)));
    assert!(link.is_stalled(ms(1_000)));
}

#[test]
fn refused_packets_lower_the_rate_within_bounds_until_the_link_recovers() {
    let mut link: Link<u32> = Link::new(RATE, START);
    let stated = link.rate();
    for step in 0..10_000 {
        link.record_refusal(ms(step));
    }
    assert!(link.rate() >= stated * 0.24, "{}", link.rate());
    assert!(link.rate() < stated * 0.5, "{}", link.rate());
    admits(&mut link, ms(40_000), packet(Class::Data, None));
    assert!((link.rate() - stated).abs() < 1.0, "{}", link.rate());
}

/// Plays ten seconds in which some of 100 packets a second repeat others.
fn rate_after_repeats(load: f64, repeated: u64) -> f64 {
    let mut link: Link<u32> = Link::new(RATE, START);
    let stated = link.rate();
    #[expect(clippy::cast_precision_loss, reason = "1,300")]
    let bytes = FULL as f64;
    let mut sent = 0.0;
    for step in 0..10_000_u32 {
        let now = ms(step.into());
        while sent < f64::from(step) * RATE * load / 1_000.0 {
            if let Offer::Wait(place) = link.offer(now, packet(Class::Data, None)) {
                link.enqueue(now, place, step);
            }
            sent += bytes;
        }
        while link.take(now).is_some() {}
        if step % 1_000 == 999 {
            link.record_repeats(now, 100, repeated);
        }
    }
    link.rate() / stated
}

#[test]
fn repeated_packets_lower_the_rate_of_a_busy_link_within_bounds() {
    // Below its load, packets would wait here.
    let share = rate_after_repeats(0.8, 30);
    assert!((0.6..0.9).contains(&share), "{share}");
}

#[test]
fn packets_that_are_lost_elsewhere_do_not_lower_the_rate() {
    let idle = rate_after_repeats(0.3, 30);
    let lossy = rate_after_repeats(0.8, 5);
    assert!(idle.min(lossy) > 0.999, "{idle} {lossy}");
}

/// Otherwise a full link would become slower, and callers would repeat more.
#[test]
fn repeats_of_packets_that_wait_here_do_not_lower_the_rate() {
    let share = rate_after_repeats(1.5, 30);
    assert!(share > 0.999, "{share}");
}

#[test]
fn changed_rate_is_in_force_at_once() {
    let mut link = busy_link();
    link.record_refusal(ms(100));
    link.record_refusal(ms(200));
    while admits(&mut link, ms(200), packet(Class::Control, None)) {}
    link.set_rate(ms(200), RATE * 10.0);
    assert!(link.rate() > RATE * 9.0, "{}", link.rate());
    for item in 0..100 {
        enqueue(&mut link, ms(200), packet(Class::Data, None), item);
    }
    // 100 packets take 104 ms at the former rate.
    assert_eq!(drain(&mut link, ms(200), ms(225)).len(), 100);
}

#[test]
fn link_is_full_only_while_packets_wait_without_interruption() {
    let mut link = busy_link();
    for step in 0..600 {
        enqueue(&mut link, ms(step), packet(Class::Bulk, None), 0);
        enqueue(&mut link, ms(step), packet(Class::Bulk, None), 0);
        while link.take(ms(step)).is_some() {}
        let change = link.take_change(ms(step));
        assert_eq!(change.is_some(), step == 500, "{step}");
    }
    assert!(link.is_full());
    drain(&mut link, ms(600), ms(2_000));
    assert_eq!(link.take_change(ms(2_000)), None);
    assert_eq!(link.take_change(ms(5_000)), Some(Change::Free));
}

#[test]
fn short_bursts_do_not_make_a_link_full() {
    let mut link: Link<u32> = Link::new(RATE, START);
    for step in 0..5_000 {
        if step % 400 == 0 {
            while admits(&mut link, ms(step), packet(Class::Bulk, None)) {}
            for item in 0..100 {
                enqueue(&mut link, ms(step), packet(Class::Bulk, None), item);
            }
        }
        while link.take(ms(step)).is_some() {}
        assert_eq!(link.take_change(ms(step)), None, "{step}");
    }
}

#[test]
fn small_requests_of_a_long_flow_are_not_bulk() {
    let mut link: Link<u32> = Link::new(RATE, START);
    for step in 0..6_000 {
        let small = Packet {
            bytes: 950,
            flow: Some(1),
            ..packet(Class::Data, None)
        };
        assert!(admits(&mut link, ms(step * 100), small));
    }
    assert_eq!(link.counts(Class::Bulk).sent, 0);
}

#[test]
fn upload_that_is_nearly_done_precedes_one_that_starts() {
    let mut link: Link<u32> = Link::new(RATE, START);
    let part = |flow| Packet {
        flow: Some(flow),
        ..packet(Class::Data, None)
    };
    for step in 0..30 {
        assert!(admits(&mut link, ms(step * 2), part(1)));
    }
    while admits(&mut link, ms(60), packet(Class::Control, None)) {}
    for item in 0..6 {
        enqueue(&mut link, ms(60), part(2), item);
    }
    enqueue(&mut link, ms(60), part(1), 9);
    // The first packets of a flow may be a small request.
    assert_eq!(drain(&mut link, ms(60), ms(200)), [0, 1, 2, 9, 3, 4, 5]);
}
