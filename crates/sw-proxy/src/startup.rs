//! The first moments of a VM, in which it may have only an older configuration than the other VMs.
//!
//! A store that was restored from an older copy holds a version that the other VMs have replaced. A VM that starts serves
//! once another VM has told it which version it runs, and it has that version, or once there is nobody to ask.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use spdlog::prelude::*;
use sw_unit::Version;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::state::ProxyState;

/// Time for which a VM waits for the answer of another one.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the start within which a VM takes over a newer version from another one.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a VM has found out which version the others run.
#[derive(Debug, Default)]
pub(crate) struct Startup {
    is_over: Cell<bool>,
    failed_seeds: RefCell<IndexSet<SocketAddr>>,
    /// Notified when a heartbeat was received or a seed did not answer.
    changed: Notify,
}

impl Startup {
    /// Returns whether the VM may serve.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Records that a seed did not answer.
    pub(crate) fn on_seed_failed(&self, address: SocketAddr) {
        self.failed_seeds.borrow_mut().insert(address);
        self.changed.notify_waiters();
    }

    /// Records that a heartbeat was received.
    pub(crate) fn on_heartbeat(&self) {
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

/// Returns whether a VM with a configuration has been heard, or no seed is left that may answer.
fn has_asked<D, F>(state: &ProxyState<D, F>) -> bool {
    let relay = state.relay.borrow();
    let members = relay.members();
    let local = &members.local().vm;
    let mut heard = members.heard_vms(state.now()).filter(|row| row.vm != *local);
    if heard.any(|row| row.version > Version(0)) {
        return true;
    }
    let failed = state.startup.failed_seeds.borrow();
    let options = state.options();
    members
        .unknown_seeds(&options.seeds)
        .all(|address| failed.contains(&address))
}

fn is_behind<D, F>(state: &ProxyState<D, F>) -> bool {
    state.relay.borrow().behind_for(state.now()).is_some()
}
