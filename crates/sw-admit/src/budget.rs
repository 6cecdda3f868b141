//! The retry budget.

/// Share of first attempts that may be followed by a retry.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const MAX_SAVED: f64 = 10.0;

/// Limits retries to a share of the first attempts, so that they cannot multiply the load of a failing group.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
    share: f64,
    max_balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RETRY_SHARE, MAX_SAVED)
    }
}

impl RetryBudget {
    /// A budget of a `share` of the first attempts, of which up to `max_balance` are saved up.
    pub fn new(share: f64, max_balance: f64) -> Self {
        Self {
            saved: 1.0,
            share,
            max_balance,
        }
    }

    /// Changes how much may be saved up.
    pub fn set_max_balance(&mut self, max_balance: f64) {
        self.max_balance = max_balance;
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(self.max_balance);
    }

    /// Takes a retry out of the budget, and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
