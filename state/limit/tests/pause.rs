//! Pauses and slow start of a backend server.
use limit::pause::Pause;
use limit::pause::Settings;

/// Guards against a process that ends after 65,536 successes at the full limit, where
/// no further success adds a slot.
#[test]
fn successes_beyond_the_counter_change_nothing() {
    let mut pause = Pause::new(Settings::default(), 2, 1);
    for _ in 0..=u32::from(u16::MAX) + 2 {
        pause.record_success();
    }
    assert_eq!(pause.limit_after_pause(), 2);
}
