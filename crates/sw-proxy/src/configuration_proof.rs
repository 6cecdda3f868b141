//! Proofs that the configuration in force is the newest one in the store.
//!
//! Where removed keys must nowhere be of use for longer than a given time, a VM serves requests with keys only while it has such
//! a proof. It comes with what a VM reads of the store or of a watcher anyway, and with the replies to heartbeats. A VM whose
//! proof grows old without them asks the store itself.

use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use spdlog::prelude::*;
use sw_peer::relay::NewestVersion;
use sw_store::Feed;
use sw_unit::{Millis, Time};

use crate::Dialect;
use crate::state::ProxyState;
use crate::store::{self, Polled};

/// Period of the checks of the lease.
const CHECK_PERIOD: Millis = Millis(100);
/// Timeout of a call to the store for a proof.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two such calls of a VM.
const PROOF_PERIOD: Millis = Millis(500);

/// Renews the lease before it ends, and logs when it ends and begins, until the process ends.
pub(crate) async fn run<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>) {
    let mut ticks = state.timer.subscribe(CHECK_PERIOD);
    let mut was_valid = true;
    let mut asked_at: Option<Time> = None;
    loop {
        ticks.tick().await;
        if state.options().strict_revocation.is_none() {
            continue;
        }
        was_valid = log_lease(&state, was_valid);
        let now = state.now();
        let is_due = asked_at.is_none_or(|at| now.since(at) >= PROOF_PERIOD);
        if is_due && state.relay.borrow().needs_proof(now) && !state.mirror.borrow().is_empty() {
            asked_at = Some(now);
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move { store::refresh(&state, PROOF_TIMEOUT).await });
        }
    }
}

/// Records that a call to the store that began at `called_at` was answered and applied.
pub(crate) fn on_polled<D, F>(state: &ProxyState<D, F>, polled: &Polled, called_at: Time) {
    // A configuration that cannot be decoded may have taken keys away.
    let is_applied = matches!(polled, Polled::Applied { .. }) && state.mirror.borrow().announced().next().is_none();
    if is_applied && !state.malformed.borrow().has_configuration() {
        let mut relay = state.relay.borrow_mut();
        let version = relay.version();
        relay.on_newest_version(version, called_at);
    }
}

/// Records what a watcher stated in the reply to a call that began at `called_at`.
pub(crate) fn on_watched<D, F>(state: &ProxyState<D, F>, newest: NewestVersion, called_at: Time) {
    // The call cannot have been held for longer than it took.
    let held_for = newest.held_for.min(state.now().since(called_at));
    let proven_at = called_at + held_for - newest.age;
    state.relay.borrow_mut().on_newest_version(newest.version, proven_at);
}

/// Returns what this VM states in the reply to a call that arrived at `called_at`.
pub(crate) fn stated<D, F>(state: &ProxyState<D, F>, called_at: Time) -> Option<NewestVersion> {
    let (relay, now) = (state.relay.borrow(), state.now());
    relay.proof_age(now).map(|age| NewestVersion {
        version: relay.version(),
        age,
        held_for: now.since(called_at),
    })
}

fn log_lease<D, F>(state: &ProxyState<D, F>, was_valid: bool) -> bool {
    let (relay, now) = (state.relay.borrow(), state.now());
    let is_valid = relay.is_key_lease_valid(now);
    let age_ms = relay.proof_age(now).map_or(-1.0, |age| age.0 as f64);
    gauge!("shallotwing_key_lease_age_ms").set(age_ms);
    if is_valid != was_valid {
        let version = relay.version().0;
        info!("key_lease", kv: { valid = is_valid, version, age_ms });
    }
    is_valid
}
