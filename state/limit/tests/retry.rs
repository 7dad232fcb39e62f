//! The retry budget and the backoff.
use std::time::Duration;

use limit::Backoff;
use limit::Budget;
use limit::backoff;
use limit::budget;
use proptest::prelude::*;

#[derive(Clone, Copy)]
struct Share {
    percent: u32,
    first_attempts: u32,
    retries: usize,
}

fn retries_are_a_share_of_first_attempts(share: Share) {
    let mut budget = Budget::new(budget::Settings {
        percent: share.percent,
        burst: 5,
    });
    while budget.withdraw() {}
    let retries = (0..share.first_attempts)
        .filter(|_| {
            budget.deposit();
            budget.withdraw()
        })
        .count();
    assert_eq!(retries, share.retries);
}

cases::cases! { retries_are_a_share_of_first_attempts;
    a_retry_budget_of_ten_percent: Share { percent: 10, first_attempts: 1000, retries: 100 },
    a_retry_budget_of_zero_percent: Share { percent: 0, first_attempts: 1000, retries: 0 },
    a_retry_budget_of_a_hundred_percent: Share { percent: 100, first_attempts: 1000, retries: 1000 },
    a_retry_budget_above_a_hundred_percent: Share { percent: 250, first_attempts: 1000, retries: 1000 },
}

proptest! {
    #[test]
    fn retries_never_exceed_the_burst_and_the_share(
        percent in 0_u32..100,
        burst in 0_u32..50,
        retries in proptest::collection::vec(any::<bool>(), 0..500),
    ) {
        let mut budget = Budget::new(budget::Settings { percent, burst });
        let (mut deposits, mut withdrawals) = (0, 0);
        for retry in retries {
            if retry {
                withdrawals += u32::from(budget.withdraw());
            } else {
                budget.deposit();
                deposits += 1;
            }
            prop_assert!(withdrawals * 100 <= burst * 100 + deposits * percent);
        }
    }

    #[test]
    fn pauses_lie_in_the_upper_half_of_a_doubling_bound(seed in any::<u64>(), attempts in 1_u32..200) {
        let settings = backoff::Settings::default();
        let mut backoff = Backoff::new(settings, seed);
        let mut bound = settings.base;
        for _ in 0..attempts {
            let pause = backoff.next_pause();
            prop_assert!(bound / 2 <= pause && pause <= bound);
            bound = (bound * 2).min(settings.max);
        }
        backoff.reset();
        prop_assert!(backoff.next_pause() <= settings.base);
    }

    #[test]
    fn backoffs_with_different_seeds_differ(seed in any::<u64>()) {
        let pauses = |seed| {
            let mut backoff = Backoff::new(backoff::Settings::default(), seed);
            [backoff.next_pause(), backoff.next_pause(), backoff.next_pause()]
        };
        prop_assert_ne!(pauses(seed), pauses(seed.wrapping_add(1)));
        prop_assert_eq!(pauses(seed), pauses(seed));
    }

    #[test]
    fn no_retry_ends_after_the_deadline(
        now in 0_u64..10_000,
        deadline in 0_u64..10_000,
        service in 0_u64..1000,
        seed in any::<u64>(),
    ) {
        let [now, deadline, service] = [now, deadline, service].map(Duration::from_millis);
        let mut backoff = Backoff::new(backoff::Settings::default(), seed);
        let retry = backoff.next_within(now, deadline, service);
        if let Some(pause) = retry {
            prop_assert!(now + pause + service <= deadline);
        }
        let worst = now + backoff::Settings::default().base + service;
        prop_assert!(retry.is_some() || worst > deadline);
    }
}
