//! Simulates a fleet of entries whose store is restored from an older copy again
//! and again, loses answers and turns entries away, while entries are killed.
mod fleet;

use std::time::Duration;

use fleet::Fleet;

/// Seeds of a run in CI; `RESTORE_SEEDS` sets another number.
const DEFAULT_SEEDS: u64 = 8;

/// Time during which disturbances begin.
const DISTURBED: Duration = Duration::from_secs(30);

/// Time after the last disturbance within which the newest configuration has to be
/// in force at each entry.
const APPLY_BOUND: Duration = Duration::from_secs(3);

/// Time after the last disturbance within which each entry has to be registered.
const REGISTER_BOUND: Duration = Duration::from_millis(2_500);

/// Most calls that an entry may make in any second.
const MAX_CALLS_PER_SECOND: usize = 25;

/// No entry goes back to an older configuration; all of them apply the one that the
/// operator writes again, and register again in time; nothing storms the store.
#[test]
fn entries_survive_restores_of_the_store() {
    let seeds = std::env::var("RESTORE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    for seed in 0..seeds {
        let mut fleet = Fleet::new(seed);
        let calm_since = fleet.run_disturbed(DISTURBED);
        fleet.run_until(calm_since + REGISTER_BOUND);
        assert_eq!(
            fleet.unregistered(),
            0,
            "seed {seed}: not registered in time"
        );
        fleet.run_until(calm_since + APPLY_BOUND);
        assert_eq!(fleet.outdated(), 0, "seed {seed}: not in force in time");
        let busiest = fleet.max_calls_per_second();
        assert!(
            busiest <= MAX_CALLS_PER_SECOND,
            "seed {seed}: {busiest} calls in a second"
        );
    }
}
