//! Whether the service still has all that it once acknowledged.
//!
//! Every answer carries the service's revision, which only grows. An answer with a lower one than was seen before the
//! call was made shows that the service was taken back to an earlier state, and that acknowledged claims may be gone.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sw_unit::Millis;

use crate::Revision;

#[derive(Debug, Default)]
struct State {
    highest: Revision,
    until: Option<Instant>,
}

/// What was seen of the service's revisions; shared by the clones of a client.
#[derive(Debug, Clone)]
pub struct RollbackDetector {
    retention: Millis,
    state: Arc<Mutex<State>>,
}

impl RollbackDetector {
    /// Trust that is lost for `retention` when the service goes back to an earlier state.
    pub fn new(retention: Millis) -> Self {
        Self {
            retention,
            state: Arc::default(),
        }
    }

    /// The highest revision that was seen, by this VM or another one.
    pub fn highest_revision(&self) -> Revision {
        self.state().highest
    }

    /// Records an answer to a call before which `before` was the highest revision.
    pub fn record_revision(&self, before: Revision, revision: Revision) {
        let mut state = self.state();
        if revision < before {
            state.until = Some(Instant::now() + Duration::from_millis(self.retention.0));
        }
        state.highest = state.highest.max(revision);
    }

    /// Takes in what another VM knows.
    pub fn on_peer_observation(&self, highest: Revision, distrust: Millis) {
        let mut state = self.state();
        state.highest = state.highest.max(highest);
        if distrust > Millis(0) {
            let until = Instant::now() + Duration::from_millis(distrust.0.min(self.retention.0));
            state.until = Some(state.until.map_or(until, |known| known.max(until)));
        }
    }

    /// How much longer the service is not trusted to know of earlier claims.
    pub fn quarantine(&self) -> Millis {
        let until = self.state().until;
        let left = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        Millis(left.as_millis() as u64)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
