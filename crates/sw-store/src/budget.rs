//! Rate limit for calls to the key-value service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use sw_unit::Rate;

/// Burst size, in seconds of the rate.
const BURST_SECONDS: f64 = 5.0;

/// Limits the calls that one process makes, so that a faulty process cannot overload the service for all others.
#[derive(Debug, Clone)]
pub struct CallBudget {
    rate: f64,
    /// The balance, and when it was last updated.
    state: Arc<Mutex<(f64, Instant)>>,
}

impl CallBudget {
    /// Creates a budget of `rate` calls per second.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate: rate.0,
            state: Arc::new(Mutex::new((rate.0 * BURST_SECONDS, Instant::now()))),
        }
    }

    /// Withdraws one call from the budget; returns `false` if the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (balance, updated_at) = *state;
        let deposit = updated_at.elapsed().as_secs_f64() * self.rate;
        let balance = (balance + deposit).min(self.rate * BURST_SECONDS);
        let allowed = balance >= 1.0;
        *state = (if allowed { balance - 1.0 } else { balance }, Instant::now());
        allowed
    }
}
