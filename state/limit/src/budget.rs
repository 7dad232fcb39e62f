//! Bounds retries to a share of first tries.

/// Limits of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Retries allowed for each 100 first tries.
    pub percent: u32,
    /// Retries that may be saved up.
    pub burst: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            percent: 10,
            burst: 10,
        }
    }
}

const RETRY_COST: u64 = 100;

/// A retry budget: first tries pay in, retries draw out.
///
/// ```
/// use limit::Budget;
/// use limit::budget::Settings;
///
/// let mut budget = Budget::new(Settings { percent: 50, burst: 1 });
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    balance: u64,
}

impl Budget {
    /// Creates a budget with its burst saved up.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            balance: u64::from(settings.burst) * RETRY_COST,
        }
    }

    /// Counts a first try.
    pub fn deposit(&mut self) {
        let limit = u64::from(self.settings.burst) * RETRY_COST;
        self.balance = limit.min(self.balance + u64::from(self.settings.percent));
    }

    /// Pays for a retry; false where the budget does not allow one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}
