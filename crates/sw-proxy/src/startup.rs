//! The first moments of a VM, in which it may have only an older configuration than the other VMs.
//!
//! A store that was restored from an older copy holds a version that the other VMs have replaced. A VM that starts serves
//! once it has asked the seeds which version they run, and has the newest of these.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use spdlog::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::state::ProxyState;

/// Time for which a VM waits for the answers of the seeds.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the start within which a VM takes over a newer version from another one.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a VM has found out which version the others run.
#[derive(Debug, Default)]
pub(crate) struct Startup {
    is_over: Cell<bool>,
    asked_seeds: RefCell<IndexSet<SocketAddr>>,
    /// Notified when a seed has answered or failed.
    changed: Notify,
}

impl Startup {
    /// Returns whether the VM may serve.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Records that a seed has answered or failed.
    pub(crate) fn on_seed_asked(&self, address: SocketAddr) {
        self.asked_seeds.borrow_mut().insert(address);
        self.changed.notify_waiters();
    }
}

/// Waits until the VM may serve.
pub(crate) async fn run<D, F>(state: Rc<ProxyState<D, F>>) {
    let started_at = Instant::now();
    while !has_asked(&state) {
        let changed = state.startup.changed.notified();
        if tokio::time::timeout_at(started_at + ASK_TIMEOUT, changed)
            .await
            .is_err()
        {
            break;
        }
    }
    while is_behind(&state) {
        let changed = state.store_changed.notified();
        if tokio::time::timeout_at(started_at + CATCH_UP_TIMEOUT, changed)
            .await
            .is_err()
        {
            break;
        }
    }
    state.startup.is_over.set(true);
    let after_ms = started_at.elapsed().as_millis() as u64;
    let in_force = state.relay.borrow().table().map_or(0, |table| table.version.0);
    let is_behind = is_behind(&state);
    info!("serving", kv: { after_ms, in_force, is_behind });
}

/// Returns whether each seed has answered or failed. One answer is not enough, as it may come from a VM that has just started.
fn has_asked<D, F>(state: &ProxyState<D, F>) -> bool {
    let (options, asked) = (state.options(), state.startup.asked_seeds.borrow());
    let mut seeds = options.seeds.iter().filter(|seed| **seed != options.peer_address());
    seeds.all(|seed| asked.contains(seed))
}

fn is_behind<D, F>(state: &ProxyState<D, F>) -> bool {
    state.relay.borrow().behind_for(state.now()).is_some()
}
