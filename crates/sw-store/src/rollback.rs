//! Detection of lost committed state in the key-value service.
//!
//! Every response carries the service's revision, which only increases. A response with a lower revision than the one
//! known before the call shows that the service was rolled back to an earlier state and may have lost acknowledged
//! claims. Claims are refused for some time afterwards, the quarantine.
//!
//! A service that was restored from a backup may have passed the old revisions by the time it is asked again. It then
//! names another cluster id, which a restore replaces; that starts a quarantine as well.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sw_unit::Millis;

use crate::{ClusterId, Revision};

/// What a response says of the service's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateHeader {
    /// The cluster that responded; `None` if it does not name itself.
    pub cluster: Option<ClusterId>,
    /// The service's revision.
    pub revision: Revision,
}

#[derive(Debug, Default)]
struct State {
    highest_revision: Revision,
    /// The cluster that responded last.
    cluster: Option<ClusterId>,
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

    /// Records the header of a response; `before` is the highest revision known before the call. Returns whether it
    /// shows a rollback.
    pub fn record_response(&self, before: Revision, header: StateHeader) -> bool {
        let mut state = self.state();
        let is_restored = state.cluster.is_some() && header.cluster.is_some() && state.cluster != header.cluster;
        let is_rollback = is_restored || header.revision < before;
        if is_rollback {
            state.quarantined_until = Some(Instant::now() + Duration::from_millis(self.retention.0));
        }
        state.cluster = header.cluster.or(state.cluster);
        state.highest_revision = state.highest_revision.max(header.revision);
        is_rollback
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
