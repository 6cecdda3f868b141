//! Heartbeats between VMs.
//!
//! Of two neighbours, the one with the smaller id calls the other. The other one calls only if a heartbeat is overdue.
//! On each heartbeat and tick, a VM looks whether it has to learn from another one what the store has not told it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use indexmap::{IndexMap, IndexSet};
use spdlog::prelude::*;
use sw_member::{VmRow, VmState};
use sw_peer::relay::CallRefusal;
use sw_relay::{Heartbeat, NewsScope, Relay};
use sw_unit::{Millis, Time, Version, VmId};

use crate::peer_calls::{self, Direction, PeerCall};
use crate::state::ProxyState;
use crate::{Dialect, catch_up, crash, telemetry};

/// Base period of heartbeats.
pub(crate) const HEARTBEAT_PERIOD: Millis = Millis(500);
/// Delay of a heartbeat after which a neighbour with a smaller id is called.
const OVERDUE: Millis = Millis(700);
/// Heartbeats that are due within this time are sent in the current tick.
const TICK_MARGIN: Millis = Millis(60);
/// Period of heartbeats with another failure domain.
const DOMAIN_HEARTBEAT_PERIOD: Millis = Millis(900);
/// Time without heartbeats after which the second delegate takes over the exchange with another failure domain.
const DELEGATE_FAILOVER_AFTER: Millis = Millis(2_400);

/// Maximum number of VMs that are told at once that this VM is leaving.
const MAX_ANNOUNCING: usize = 16;

/// Time for which the broken connections of a crashed endpoint are collected before they are announced together.
const CRASH_NEWS_DELAY: Millis = Millis(15);
/// Shortest time between two series of heartbeats that announce crashes, unless they are evidence enough for a quarantine.
const CRASH_NEWS_PERIOD: Millis = Millis(250);

/// Heartbeat calls in flight and last logged state of each VM.
#[derive(Debug, Default)]
struct ExchangeState {
    in_flight: IndexSet<SocketAddr>,
    logged_states: IndexMap<VmId, VmState>,
}

/// Exchanges heartbeats until the process ends.
pub(crate) async fn run<D: Dialect, F: 'static>(state: Rc<ProxyState<D, F>>) {
    let exchanges = Rc::new(RefCell::new(ExchangeState::default()));
    let mut ticks = state.timer.subscribe(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        state.relay.borrow_mut().tick(state.now());
        telemetry::log_plan_changes(&state);
        let changes = state.relay.borrow_mut().take_isolation_changes();
        telemetry::log_isolation_changes(&changes);
        crash::on_evidence(&state);
        telemetry::log_contention_changes(&state);
        state.connector.prune();
        log_states(&state, &exchanges);
        call_due_peers(&state, &exchanges);
        catch_up::start_if_due(&state);
    }
}

/// Exchanges heartbeats with all known VMs, the nearest ones first.
pub(crate) async fn announce_to_all<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    let rows = {
        let relay = state.relay.borrow();
        let local = relay.members().local();
        let mut rows: Vec<_> = relay.members().peers().cloned().collect();
        rows.sort_by_key(|row| (row.domain != local.domain, row.region != local.region));
        rows
    };
    let exchanges = futures::stream::iter(rows).map(|row| exchange_with(state, row.peer_listen, Some(row)));
    exchanges.buffer_unordered(MAX_ANNOUNCING).collect::<()>().await;
}

/// Announces crashes to the VMs that should learn of them: at once if they are a `verdict`, evidence enough for a
/// quarantine, and otherwise together with what is learned shortly after.
pub(crate) fn announce_crash<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, scope: NewsScope, verdict: bool) {
    let pending = state.crash_news.get();
    state.crash_news.set(pending.max(Some(scope)));
    if verdict {
        send_crash_news(state);
        return;
    }
    if pending.is_some() {
        return;
    }
    let announced_at = state.crash_announced_at.get();
    let next_at = announced_at.map_or(state.now(), |at| at + CRASH_NEWS_PERIOD);
    let delay = next_at.since(state.now()).max(CRASH_NEWS_DELAY);
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(delay.0)).await;
        send_crash_news(&state);
    });
}

/// Announces the pending news, if it was not announced meanwhile.
fn send_crash_news<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    let Some(scope) = state.crash_news.take() else {
        return;
    };
    let now = state.now();
    state.crash_announced_at.set(Some(now));
    let rows = {
        let mut relay = state.relay.borrow_mut();
        let mut rows: Vec<_> = relay.members().neighbours().cloned().collect();
        if scope == NewsScope::All {
            let domains: Vec<_> = relay.remote_domains().cloned().collect();
            rows.extend(domains.iter().filter_map(|domain| relay.remote_delegate(domain, now)));
        }
        rows
    };
    for row in rows {
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move { exchange_with(&state, row.peer_listen, Some(row)).await });
    }
}

/// Exchanges heartbeats at once with the failure domains that this VM exchanges them with.
pub(crate) fn announce_to_domains<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    let now = state.now();
    let rows: Vec<_> = {
        let mut relay = state.relay.borrow_mut();
        let mut domains: Vec<_> = relay.remote_domains().cloned().collect();
        domains.retain(|domain| relay.is_heartbeat_due(domain, Millis(0), DELEGATE_FAILOVER_AFTER, now));
        domains
            .iter()
            .filter_map(|domain| relay.remote_delegate(domain, now))
            .collect()
    };
    for row in rows {
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move { exchange_with(&state, row.peer_listen, Some(row)).await });
    }
}

/// Applies a heartbeat of another VM.
pub(crate) fn on_heartbeat<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, heartbeat: Heartbeat) {
    peer_calls::count_heartbeat(&heartbeat, Direction::Received);
    let from = heartbeat.from.clone();
    apply(state, &from, |relay, now| relay.on_heartbeat(heartbeat, now));
}

/// Applies what the VM of row `from` sent, and acts on what changed; `apply_to` returns whether its row did.
fn apply<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    from: &VmRow,
    apply_to: impl FnOnce(&mut Relay, Time) -> bool,
) {
    let now = state.now();
    let is_changed = log_if_behind(state, from.vm.as_str(), |relay| apply_to(relay, now));
    if is_changed {
        let (vm, incarnation, leaving) = (from.vm.as_str(), from.incarnation.0, from.leaving);
        let (version, size) = (from.version.0, from.size.0);
        info!("vm_heard", kv: { vm, incarnation, leaving, version, size });
    }
    telemetry::log_rate_limit_changes(state, "");
    telemetry::log_rejection_limit_changes(state, "");
    crash::on_evidence(state);
    catch_up::start_if_due(state);
}

/// Records that another VM, which is empty if it is not known, runs `version`.
pub(crate) fn on_version_heard<D, F>(state: &ProxyState<D, F>, vm: &str, version: Version) {
    log_if_behind(state, vm, |relay| relay.on_version_heard(version, state.now()));
}

/// Records the version by which another VM refused a forwarded request.
pub(crate) fn on_forward_refused<D, F>(state: &ProxyState<D, F>, vm: &VmId, refused: CallRefusal) {
    let CallRefusal { refusal, version } = refused;
    log_if_behind(state, vm.as_str(), |relay| {
        relay.on_forward_refused(refusal.kind, version, state.now());
    });
}

/// Applies what another VM said, and logs if this VM learns from it that there is a newer version.
fn log_if_behind<D, F, T>(state: &ProxyState<D, F>, vm: &str, apply: impl FnOnce(&mut Relay) -> T) -> T {
    let known = state.relay.borrow().newer_version(state.now());
    let applied = apply(&mut state.relay.borrow_mut());
    let newer = state.relay.borrow().newer_version(state.now());
    if let Some(version) = newer.filter(|_| known.is_none()) {
        telemetry::log_newer_version(state, vm, version);
    }
    applied
}

fn call_due_peers<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, exchanges: &Rc<RefCell<ExchangeState>>) {
    for (address, row) in due_peers(state) {
        if !exchanges.borrow_mut().in_flight.insert(address) {
            continue;
        }
        let (state, exchanges) = (Rc::clone(state), Rc::clone(exchanges));
        tokio::task::spawn_local(async move {
            let is_seed = row.is_none();
            exchange_with(&state, address, row).await;
            if is_seed {
                state.startup.on_seed_asked(address);
            }
            exchanges.borrow_mut().in_flight.swap_remove(&address);
        });
    }
}

/// Returns the VMs to call now: neighbours that are due, one VM of each failure domain with which this VM should
/// exchange heartbeats, and seeds.
fn due_peers<D, F>(state: &ProxyState<D, F>) -> Vec<(SocketAddr, Option<VmRow>)> {
    let mut relay = state.relay.borrow_mut();
    let now = state.now();
    let mut rows: Vec<VmRow> = due_neighbours(&relay, now);
    let domains: Vec<_> = relay.remote_domains().cloned().collect();
    for domain in domains {
        if relay.is_heartbeat_due(&domain, DOMAIN_HEARTBEAT_PERIOD, DELEGATE_FAILOVER_AFTER, now) {
            rows.extend(relay.remote_delegate(&domain, now));
        }
    }
    let options = state.options();
    let unknown = relay
        .seeds_to_call(&options.seeds, now)
        .into_iter()
        .map(|address| (address, None));
    let known = rows.into_iter().map(|row| (row.peer_listen, Some(row)));
    known.chain(unknown).collect()
}

fn due_neighbours(relay: &Relay, now: Time) -> Vec<VmRow> {
    let members = relay.members();
    let local = &members.local().vm;
    let period = members.heartbeat_period();
    let is_due = |row: &&VmRow| {
        let since_last = members
            .last_received_at(&row.vm)
            .map_or(OVERDUE, |last_received_at| now.since(last_received_at));
        let limit = if *local < row.vm { period } else { period + OVERDUE };
        since_last + TICK_MARGIN >= limit
    };
    members.neighbours().filter(is_due).cloned().collect()
}

async fn exchange_with<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, address: SocketAddr, row: Option<VmRow>) {
    let started_at = state.now();
    let exchange = state.relay.borrow_mut().start_exchange(row, started_at);
    // An unresponsive VM becomes suspect when its heartbeats are overdue.
    peer_calls::count_heartbeat(&exchange.heartbeat, Direction::Sent);
    let call = state.peers.send_heartbeat(address, &exchange.heartbeat);
    let Ok(reply) = peer_calls::counted(PeerCall::Heartbeat, call).await else {
        return;
    };
    let region = reply.from.region.clone();
    peer_calls::count_heartbeat(&reply, Direction::Received);
    let from = reply.from.clone();
    apply(state, &from, |relay, now| relay.end_exchange(&exchange, reply, now));
    let round_trip = state.now().since(started_at);
    state.relay.borrow_mut().record_round_trip(&region, round_trip);
}

fn log_states<D, F>(state: &ProxyState<D, F>, exchanges: &Rc<RefCell<ExchangeState>>) {
    let relay = state.relay.borrow();
    let members = relay.members();
    let now = state.now();
    let mut exchanges = exchanges.borrow_mut();
    for row in members.peers() {
        let Some(vm_state) = members.state(&row.vm, now) else {
            continue;
        };
        if exchanges.logged_states.insert(row.vm.clone(), vm_state) == Some(vm_state) {
            continue;
        }
        let heard_ms = members
            .last_received_at(&row.vm)
            .map_or(0, |last_received_at| now.since(last_received_at).0);
        let (vm, vm_state) = (row.vm.as_str(), format!("{vm_state:?}").to_lowercase());
        info!("vm_state", kv: { vm, state = vm_state.as_str(), heard_ms });
    }
}
