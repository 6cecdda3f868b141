//! Heartbeats with other VMs.
//!
//! Of two neighbours the one with the smaller id calls; the other one calls only if it has not heard for a while. A VM that
//! cannot reach the store takes what a neighbour knows of it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use spdlog::prelude::*;
use sw_member::{VmRow, VmState};
use sw_relay::{Heartbeat, Relay};
use sw_unit::{Millis, Time, VmId};

use crate::core::Core;
use crate::{Dialect, store};

/// Time between two heartbeats.
pub(crate) const BEAT_PERIOD: Millis = Millis(500);
/// A neighbour with a smaller id is called if it is this much overdue.
const OVERDUE: Millis = Millis(700);
/// What is due within this time is done now.
const TICK_MARGIN: Millis = Millis(60);
/// Time between two heartbeats with another domain.
const DOMAIN_PERIOD: Millis = Millis(900);
/// Time after which the second delegate speaks with another domain.
const DOMAIN_PATIENCE: Millis = Millis(2_400);

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
        store::copy_if_due(&core);
    }
}

/// Tells all VMs what this one says about itself.
pub(crate) async fn tell_all<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>) {
    let rows: Vec<_> = core.relay.borrow().members().peers().cloned().collect();
    let calls = rows.into_iter().map(|row| call(core, row.peer_listen, Some(row)));
    futures::future::join_all(calls).await;
}

/// Takes in another VM's heartbeat.
pub(crate) fn heard<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>, beat: Heartbeat) {
    let now = core.now();
    let from = beat.from.clone();
    if core.relay.borrow_mut().on_heartbeat(beat, now) {
        let (vm, incarnation, leaving) = (from.vm.as_str(), from.incarnation.0, from.leaving);
        let version = from.version.0;
        info!("vm_heard", kv: { vm, incarnation, leaving, version });
    }
    store::copy_if_due(core);
}

fn call_due<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>, seen: &Rc<RefCell<Seen>>) {
    for (address, row) in due(core) {
        if !seen.borrow_mut().calling.insert(address) {
            continue;
        }
        let (core, seen) = (Rc::clone(core), Rc::clone(seen));
        tokio::task::spawn_local(async move {
            call(&core, address, row).await;
            seen.borrow_mut().calling.swap_remove(&address);
        });
    }
}

/// VMs to call now: neighbours that are due, a VM of each domain that this one speaks with, and seeds that were
/// never heard.
fn due<D, F>(core: &Core<D, F>) -> Vec<(SocketAddr, Option<VmRow>)> {
    let mut relay = core.relay.borrow_mut();
    let now = core.now();
    let mut rows: Vec<VmRow> = neighbours_due(&relay, now);
    let domains: Vec<_> = relay.remote_domains().cloned().collect();
    for domain in domains {
        if relay.is_heartbeat_due(&domain, DOMAIN_PERIOD, DOMAIN_PATIENCE, now) {
            rows.extend(relay.remote_delegate(&domain, now));
        }
    }
    let options = core.options();
    let unknown = relay
        .members()
        .unknown_seeds(&options.seeds)
        .map(|address| (address, None));
    let known = rows.into_iter().map(|row| (row.peer_listen, Some(row)));
    known.chain(unknown).collect()
}

fn neighbours_due(relay: &Relay, now: Time) -> Vec<VmRow> {
    let members = relay.members();
    let own = &members.local().vm;
    let period = members.heartbeat_period();
    let is_due = |row: &&VmRow| {
        let age = members
            .last_received_at(&row.vm)
            .map_or(OVERDUE, |heard| now.since(heard));
        let limit = if *own < row.vm { period } else { period + OVERDUE };
        age + TICK_MARGIN >= limit
    };
    members.neighbours().filter(is_due).cloned().collect()
}

async fn call<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>, address: SocketAddr, row: Option<VmRow>) {
    let began = core.now();
    let beat = core.relay.borrow().heartbeat(row.as_ref(), began);
    // A VM that does not answer is seen as suspect when its heartbeats are overdue.
    let Ok(reply) = core.peers.exchange(address, &beat).await else {
        return;
    };
    let region = reply.from.region.clone();
    heard(core, reply);
    let round_trip = core.now().since(began);
    core.relay.borrow_mut().record_round_trip(&region, round_trip);
}

fn log_states<D, F>(core: &Core<D, F>, seen: &Rc<RefCell<Seen>>) {
    let relay = core.relay.borrow();
    let members = relay.members();
    let now = core.now();
    let mut seen = seen.borrow_mut();
    for row in members.peers() {
        let Some(state) = members.state(&row.vm, now) else {
            continue;
        };
        if seen.states.insert(row.vm.clone(), state) == Some(state) {
            continue;
        }
        let heard_ms = members.last_received_at(&row.vm).map_or(0, |heard| now.since(heard).0);
        let (vm, state) = (row.vm.as_str(), format!("{state:?}").to_lowercase());
        info!("vm_state", kv: { vm, state = state.as_str(), heard_ms });
    }
}
