//! Disturbances of the store.
use std::io;
use std::time::Duration;

use async_io::Timer;
use platform_standin::store::Mode;

use super::Injector;
use crate::harness::Harness;

/// Delay of each answer of a slow store.
const ANSWER_DELAY: Duration = Duration::from_millis(400);

/// Range of the age of a copy that the store comes back from, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 1_000..10_000;

/// Time from a restore of the store until the operator writes again.
const REWRITE_PAUSE: Duration = Duration::from_millis(300);

impl Injector {
    pub(super) async fn set_store_mode(&self, mode: Mode, duration: Duration) -> io::Result<()> {
        self.disturb_store(|harness| harness.store.set_mode(mode));
        Timer::after(duration).await;
        self.restore_store(|harness| harness.store.set_mode(Mode::Serve));
        Ok(())
    }

    /// Takes the store away, and brings it back from an older copy. The operator
    /// then writes the newest configuration again.
    pub(super) async fn restore_from_copy(&self, duration: Duration) -> io::Result<()> {
        self.disturb_store(|harness| harness.store.set_mode(Mode::Silent));
        Timer::after(duration).await;
        let age = self.harness.borrow_mut().random.u64(COPY_AGE_MS);
        self.harness
            .borrow()
            .store
            .restore(Duration::from_millis(age));
        self.harness.borrow().store.set_mode(Mode::Serve);
        Timer::after(REWRITE_PAUSE).await;
        self.restore_store(|harness| {
            harness.store.rewrite_configuration();
            harness.rewrite_evacuations();
        });
        Ok(())
    }

    pub(super) async fn slow_store(&self, duration: Duration) -> io::Result<()> {
        self.disturb_store(|harness| harness.store.set_delay(ANSWER_DELAY));
        Timer::after(duration).await;
        self.restore_store(|harness| harness.store.set_delay(Duration::ZERO));
        Ok(())
    }

    pub(super) fn disturb_store_once(&self, act: impl Fn(&Harness)) {
        self.disturb_store(act);
        self.restore_store(|_| ());
    }

    pub(super) fn disturb_store(&self, act: impl Fn(&Harness)) {
        let harness = &mut *self.harness.borrow_mut();
        harness.store_faults.0 += 1;
        act(harness);
    }

    pub(super) fn restore_store(&self, act: impl Fn(&Harness)) {
        let harness = &mut *self.harness.borrow_mut();
        harness.store_faults.0 -= 1;
        harness.store_faults.1 = harness.now();
        act(harness);
    }
}
