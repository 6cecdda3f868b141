//! The retry budget.

/// Retries earned by a first attempt.
const RETRY_RATIO: f64 = 0.1;
/// Largest balance, in retries.
const MAX_BALANCE: f64 = 10.0;

/// Limits retries to a fraction of the first attempts, so that they cannot multiply the load on a failing group.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
    ratio: f64,
    max_balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RETRY_RATIO, MAX_BALANCE)
    }
}

impl RetryBudget {
    /// Creates a budget that earns `ratio` retries per first attempt, up to a balance of `max_balance` retries.
    ///
    /// The balance starts at one retry.
    pub fn new(ratio: f64, max_balance: f64) -> Self {
        Self {
            balance: 1.0,
            ratio,
            max_balance,
        }
    }

    /// Sets the retries that each first attempt earns from now on.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Sets the largest balance.
    pub fn set_max_balance(&mut self, max_balance: f64) {
        self.max_balance = max_balance;
    }

    /// Deposits the fraction of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max_balance);
    }

    /// Returns whether the balance is sufficient for a retry.
    pub fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Withdraws one retry, and returns whether the balance was sufficient.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.has_retry();
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
