//! Heartbeats with other VMs.
//!
//! Of two VMs the one with the smaller id calls; the other one calls only if it has not heard for a while. A VM that
//! cannot reach the store takes what a neighbour knows of it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use spdlog::prelude::*;
use sw_member::VmState;
use sw_relay::Beat;
use sw_unit::{Millis, RegionId, VmId};

use crate::core::Core;
use crate::{Dialect, store};

/// Time between two heartbeats.
pub(crate) const BEAT_PERIOD: Millis = Millis(500);
/// A VM with a larger id is called after it has not been heard for this long.
const OVERDUE: Millis = Millis(1_100);
/// Without the store for this long, a neighbour is asked what it knows.
const STORE_PATIENCE: Millis = Millis(1_000);

/// Calls under way and states that were logged.
#[derive(Debug, Default)]
struct Seen {
    calling: IndexSet<SocketAddr>,
    states: IndexMap<VmId, VmState>,
}

/// Exchanges heartbeats until the process ends.
pub(crate) async fn run<D: Dialect, F: 'static>(core: Rc<Core<D, F>>) {
    let seen = Rc::new(RefCell::new(Seen::default()));
    let mut ticks = core.timer.subscribe(BEAT_PERIOD);
    loop {
        ticks.tick().await;
        core.relay.borrow_mut().tick(core.now());
        core.connector.prune();
        log_states(&core, &seen);
        call_due(&core, &seen);
        if let Some((vm, address)) = store::neighbour_ahead(&core, STORE_PATIENCE) {
            tokio::task::spawn_local(store::copy_from(Rc::clone(&core), vm, address));
        }
    }
}

/// Tells all VMs what this one says about itself.
pub(crate) async fn tell_all<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>) {
    let rows: Vec<_> = core.relay.borrow().members().others().cloned().collect();
    let calls = rows
        .into_iter()
        .map(|row| call(core, row.peer_listen, Some(row.region)));
    futures::future::join_all(calls).await;
}

/// Takes in another VM's heartbeat.
pub(crate) fn heard<D, F>(core: &Core<D, F>, beat: Beat) {
    let now = core.now();
    let from = beat.from.clone();
    if core.relay.borrow_mut().heard(beat, now) {
        let (vm, incarnation, leaving) = (from.vm.as_str(), from.incarnation.0, from.leaving);
        let version = from.version.0;
        info!("vm_heard", kv: { vm, incarnation, leaving, version });
    }
}

fn call_due<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>, seen: &Rc<RefCell<Seen>>) {
    for (address, region) in due(core) {
        if !seen.borrow_mut().calling.insert(address) {
            continue;
        }
        let (core, seen) = (Rc::clone(core), Rc::clone(seen));
        tokio::task::spawn_local(async move {
            call(&core, address, region).await;
            seen.borrow_mut().calling.swap_remove(&address);
        });
    }
}

/// VMs to call now.
fn due<D, F>(core: &Core<D, F>) -> Vec<(SocketAddr, Option<RegionId>)> {
    let relay = core.relay.borrow();
    let members = relay.members();
    let now = core.now();
    let own = members.own().vm.clone();
    let overdue = |vm: &VmId| members.heard_at(vm).is_none_or(|heard| now.since(heard) > OVERDUE);
    let known = members.others().filter(|row| own < row.vm || overdue(&row.vm));
    let known = known.map(|row| (row.peer_listen, Some(row.region.clone())));
    let options = core.options();
    let unknown = members.unknown(&options.seeds).map(|address| (address, None));
    known.chain(unknown).collect()
}

async fn call<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>, address: SocketAddr, region: Option<RegionId>) {
    let began = core.now();
    let beat = core.relay.borrow().beat(region.as_ref(), began);
    // A VM that does not answer is seen as suspect when its heartbeats are overdue.
    let Ok(reply) = core.peers.exchange(address, &beat).await else {
        return;
    };
    let region = reply.from.region.clone();
    heard(core, reply);
    let round_trip = core.now().since(began);
    core.relay.borrow_mut().took(&region, round_trip);
}

fn log_states<D, F>(core: &Core<D, F>, seen: &Rc<RefCell<Seen>>) {
    let relay = core.relay.borrow();
    let members = relay.members();
    let now = core.now();
    let mut seen = seen.borrow_mut();
    for row in members.others() {
        let Some(state) = members.state(&row.vm, now) else {
            continue;
        };
        if seen.states.insert(row.vm.clone(), state) == Some(state) {
            continue;
        }
        let heard_ms = members.heard_at(&row.vm).map_or(0, |heard| now.since(heard).0);
        let (vm, state) = (row.vm.as_str(), format!("{state:?}").to_lowercase());
        info!("vm_state", kv: { vm, state = state.as_str(), heard_ms });
    }
}
