//! Detection of lost committed state in the key-value service.
//!
//! Every response carries the service's revision, which only increases. A response with a lower revision than the one
//! known before the call shows that the service was rolled back to an earlier state and may have lost acknowledged
//! claims. Claims are refused for some time afterwards, the quarantine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sw_unit::Millis;

use crate::Revision;

#[derive(Debug, Default)]
struct State {
    highest_revision: Revision,
    quarantined_until: Option<Instant>,
}

/// Detects rollbacks by the service's revisions; clones share their state.
#[derive(Debug, Clone)]
pub struct RollbackDetector {
    retention: Millis,
    state: Arc<Mutex<State>>,
}

impl RollbackDetector {
    /// Creates a detector that starts a quarantine of `retention`, the lifetime of claims, when it detects a rollback.
    pub fn new(retention: Millis) -> Self {
        Self {
            retention,
            state: Arc::default(),
        }
    }

    /// Returns the highest revision that this VM or a peer has observed.
    pub fn highest_revision(&self) -> Revision {
        self.state().highest_revision
    }

    /// Records the revision of a response; `before` is the highest revision known before the call.
    pub fn record_revision(&self, before: Revision, revision: Revision) {
        let mut state = self.state();
        if revision < before {
            state.quarantined_until = Some(Instant::now() + Duration::from_millis(self.retention.0));
        }
        state.highest_revision = state.highest_revision.max(revision);
    }

    /// Merges what another VM has observed: its highest revision and its remaining quarantine.
    pub fn on_peer_observation(&self, highest_revision: Revision, quarantine: Millis) {
        let mut state = self.state();
        state.highest_revision = state.highest_revision.max(highest_revision);
        if quarantine > Millis(0) {
            let until = Instant::now() + Duration::from_millis(quarantine.0.min(self.retention.0));
            state.quarantined_until = Some(state.quarantined_until.map_or(until, |known| known.max(until)));
        }
    }

    /// Returns the remaining time for which claims are refused; zero if no rollback was detected.
    pub fn quarantine(&self) -> Millis {
        let until = self.state().quarantined_until;
        let remaining = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        Millis(remaining.as_millis() as u64)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
