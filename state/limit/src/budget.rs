//! A retry budget, which limits retries to a share of first attempts.

/// Parameters of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of retries allowed for every 100 first attempts.
    pub percent: u32,
    /// Maximum number of unused retries that accumulate.
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

/// Cost of a retry, in the unit of [`Budget`]'s balance: hundredths of a retry.
const RETRY_COST: u64 = 100;

/// A retry budget: each first attempt adds to the balance, and each retry
/// subtracts from it.
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
    /// Creates a budget that allows a full burst of retries.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            balance: u64::from(settings.burst) * RETRY_COST,
        }
    }

    /// Records a first attempt, which adds its share of a retry to the balance,
    /// up to the burst.
    pub fn deposit(&mut self) {
        let limit = u64::from(self.settings.burst) * RETRY_COST;
        self.balance = limit.min(self.balance + u64::from(self.settings.percent));
    }

    /// Subtracts a retry from the balance. Returns false and changes nothing if
    /// the budget does not allow one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}
