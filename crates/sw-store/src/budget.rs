//! The budget of calls to the key-value service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use sw_unit::Rate;

/// Seconds over which unused calls may be saved up.
const BURST_SECONDS: f64 = 5.0;

/// Bounds the calls that one process makes, so that a fault in it cannot use up the service for all.
#[derive(Debug, Clone)]
pub struct CallBudget {
    rate: f64,
    state: Arc<Mutex<(f64, Instant)>>,
}

impl CallBudget {
    /// A budget of `rate` calls a second.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate: rate.0,
            state: Arc::new(Mutex::new((rate.0 * BURST_SECONDS, Instant::now()))),
        }
    }

    /// Takes one call out of the budget, and returns whether there was one.
    pub fn withdraw(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (saved, at) = *state;
        let earned = at.elapsed().as_secs_f64() * self.rate;
        let saved = (saved + earned).min(self.rate * BURST_SECONDS);
        let allowed = saved >= 1.0;
        *state = (if allowed { saved - 1.0 } else { saved }, Instant::now());
        allowed
    }
}
