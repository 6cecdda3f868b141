//! Startup and graceful shutdown.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_limit::{CallerAccount, LimitOptions};
use sw_member::VmRow;
use sw_relay::Relay;
use sw_store::Feed;
use sw_time::{BootClock, Clock as _};
use sw_unit::{Bytes, Incarnation, Millis, Version};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::drain::STOP_MARGIN;
use crate::heartbeat::HEARTBEAT_PERIOD;
use crate::peer::PeerHandler;
use crate::state::{Lifecycle, ProxyState};
use crate::{
    Dialect, Options, caller_limits, configuration_proof, connections, directory, health, heartbeat, listener, paths,
    persist, quota, request, restore, startup, stop_log, store, transfer,
};

/// Missed heartbeats after which a VM is suspect.
const MAX_MISSED_HEARTBEATS: u64 = 5;
/// Heartbeat period per neighbour; the period grows with their number.
const HEARTBEAT_PERIOD_PER_NEIGHBOUR: Millis = Millis(60);
/// Upper bound of the heartbeat period between neighbours.
const MAX_HEARTBEAT_PERIOD: Millis = Millis(1_500);
/// Time without news of a VM in another failure domain after which it is suspect.
const REMOTE_SUSPECT_AFTER: Millis = Millis(4_000);
/// Time without a heartbeat after which a VM is removed from the member list.
const FORGET_AFTER: Millis = Millis(120_000);
/// Number of TTLs for which callers may keep using a directory response.
const MAX_ENTRY_AGE_TTLS: u64 = 3;
/// Maximum share of the stop grace during which new connections are accepted.
const ACCEPT_SHARE: f64 = 0.75;
/// Maximum number of connections to the readiness probe and the metrics, which callers' connections must not displace.
const PROBE_CONNECTIONS: u64 = 16;
/// Memory in bytes that these connections can make this VM hold.
const PROBE_MEMORY: Bytes = Bytes(1 << 20);

/// A running proxy.
pub struct Proxy<D, F> {
    state: Rc<ProxyState<D, F>>,
    stop: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
}

impl<D, F> fmt::Debug for Proxy<D, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Proxy").finish_non_exhaustive()
    }
}

impl<D: Dialect, F: Feed> Proxy<D, F> {
    /// Binds the listeners and spawns the tasks of the proxy; must run inside a `LocalSet`.
    ///
    /// `render_metrics` returns the text that is served on the metrics address.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(
        options: Options,
        dialect: D,
        feed: F,
        render_metrics: impl Fn() -> String + Copy + 'static,
    ) -> std::io::Result<Self> {
        let clock = BootClock::default();
        let mut relay = Relay::new(relay_options(&options, clock));
        relay.set_exempt_parts(options.exempt_parts.iter().copied(), clock.now());
        relay.set_exempt_requests(options.exempt_requests.iter().copied(), clock.now());
        relay.set_quota_bounds(options.quota_overshoot, expects_peers(&options));
        let (stop, stopped) = watch::channel(false);
        let peer_listener = sw_peer::relay::bind(options.peer_listen).await?;
        let (callers, ready) = (listener::bind(options.listen)?, listener::bind(options.ready_listen)?);
        let directory = listener::bind(options.directory_listen)?;
        let metrics = options.metrics_listen.map(listener::bind).transpose()?;
        let state = Rc::new(ProxyState::new(options, dialect, feed, clock, relay));
        let probes = CallerAccount::new(LimitOptions::new(PROBE_MEMORY, PROBE_CONNECTIONS));
        let mut listeners = vec![
            tokio::task::spawn_local(listener::serve(
                Rc::clone(&state),
                callers,
                state.callers.clone(),
                stopped.clone(),
                request::serve,
            )),
            tokio::task::spawn_local(listener::serve(
                Rc::clone(&state),
                directory,
                state.callers.clone(),
                stopped.clone(),
                async |state, req| directory::serve_directory(&state, &req),
            )),
            tokio::task::spawn_local(listener::serve(
                Rc::clone(&state),
                ready,
                probes.clone(),
                stopped.clone(),
                async |state, req| directory::serve_readiness(&state, &req),
            )),
        ];
        if let Some(metrics) = metrics {
            let serve =
                move |_, _| std::future::ready(directory::content_response(render_metrics().into(), "text/plain"));
            listeners.push(tokio::task::spawn_local(listener::serve(
                Rc::clone(&state),
                metrics,
                probes,
                stopped,
                serve,
            )));
        }
        tokio::task::spawn_local(sw_peer::relay::serve(peer_listener, PeerHandler(Rc::clone(&state))));
        tokio::task::spawn_local(store::follow(Rc::clone(&state)));
        tokio::task::spawn_local(transfer::run(Rc::clone(&state)));
        tokio::task::spawn_local(restore::run(Rc::clone(&state)));
        tokio::task::spawn_local(persist::run(Rc::clone(&state)));
        tokio::task::spawn_local(heartbeat::run(Rc::clone(&state)));
        tokio::task::spawn_local(configuration_proof::run(Rc::clone(&state)));
        tokio::task::spawn_local(quota::run(Rc::clone(&state)));
        tokio::task::spawn_local(paths::run(Rc::clone(&state)));
        tokio::task::spawn_local(health::run(Rc::clone(&state)));
        tokio::task::spawn_local(connections::run(Rc::clone(&state)));
        tokio::task::spawn_local(startup::run(Rc::clone(&state)));
        tokio::task::spawn_local(caller_limits::run(Rc::clone(&state)));
        log_start(&state.options());
        Ok(Self { state, stop, listeners })
    }

    /// Applies the options that can change at run time: seeds, retry limits, memory limit and times.
    pub fn reload(&self, options: Options) {
        let mut relay = self.state.relay.borrow_mut();
        relay.set_retry_bounds(options.retry_ratio, options.retry_slack);
        relay.set_strict_revocation(options.strict_revocation);
        relay.set_quota_bounds(options.quota_overshoot, expects_peers(&options));
        relay.set_exempt_parts(options.exempt_parts.iter().copied(), self.state.now());
        relay.set_exempt_requests(options.exempt_requests.iter().copied(), self.state.now());
        self.state.callers.set_options(options.callers);
        self.state.set_options(options);
    }

    /// Drains this VM: announces that it is leaving, then returns when all requests have finished or the stop grace has
    /// expired.
    pub async fn stop(self) {
        let state = self.state;
        let grace = state.options().stop_grace;
        stop_log::log_start(&state, grace);
        state.lifecycle.set(Lifecycle::Draining(state.now()));
        state.drain_started.notify_waiters();
        state.relay.borrow_mut().announce_leaving();
        let end = tokio::time::Instant::now() + Duration::from_millis((grace - STOP_MARGIN).0);
        let max_entry_age = Millis(state.options().entry_ttl.0 * MAX_ENTRY_AGE_TTLS);
        let accept = max_entry_age.min(Millis((grace.0 as f64 * ACCEPT_SHARE) as u64));
        let announced = heartbeat::announce_to_all(&state);
        let (_, ()) = futures::join!(
            tokio::time::timeout_at(end, announced),
            tokio::time::sleep(Duration::from_millis(accept.0))
        );
        // Fails only if all listener tasks have ended.
        let _no_listener = self.stop.send(true);
        let finished = futures::future::join(futures::future::join_all(self.listeners), state.active.wait_idle());
        let timed_out = tokio::time::timeout_at(end, finished).await.is_err();
        stop_log::log_end(&state, timed_out);
    }
}

fn log_start(options: &Options) {
    let (vm, domain, region) = (options.vm.as_str(), options.domain.as_str(), options.region.as_str());
    info!("started", kv: { vm, domain, region });
}

/// Returns whether the settings name other VMs.
fn expects_peers(options: &Options) -> bool {
    options.seeds.iter().any(|seed| *seed != options.peer_address())
}

fn relay_options(options: &Options, clock: BootClock) -> sw_relay::Options {
    let incarnation = Incarnation(clock.wall().0);
    sw_relay::Options {
        local: VmRow {
            vm: options.vm.clone(),
            incarnation,
            domain: options.domain.clone(),
            region: options.region.clone(),
            listen: options.listen,
            peer_listen: options.peer_address(),
            leaving: false,
            version: Version(0),
            size: options.size,
        },
        members: sw_member::Options {
            min_period: HEARTBEAT_PERIOD,
            period_per_neighbour: HEARTBEAT_PERIOD_PER_NEIGHBOUR,
            max_period: MAX_HEARTBEAT_PERIOD,
            missed_periods: MAX_MISSED_HEARTBEATS,
            remote_suspect_after: REMOTE_SUSPECT_AFTER,
            forget_after: FORGET_AFTER,
        },
        domain_regions: options.regions.clone(),
        retry_ratio: options.retry_ratio,
        retry_slack: options.retry_slack,
        strict_revocation: options.strict_revocation,
        plans_regions: options.plans_regions,
        limits_pauses: options.limits_pauses,
        shares_capacity: options.shares_capacity,
        reuses_connections: options.reuses_connections,
        started_at: clock.now(),
        seed: incarnation.0,
    }
}
