//! Start and graceful stop of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::Context as _;
use metrics_exporter_prometheus::PrometheusHandle;
use spdlog::prelude::*;
use sw_conf::Settings;
use sw_gate::{Gate, Options, StoreObservation};
use sw_http::{Connector, JsonClient};
use sw_limit::CallerAccount;
use sw_member::VmRow;
use sw_peer::Peers;
use sw_route::Weighted;
use sw_store::{Claimer, Etcd, Revision};
use sw_time::{Clock as _, SystemClock, TimerService};
use sw_unit::{Incarnation, Millis, Rate, Version};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::GateHandle;
use super::telemetry;
use crate::config_sync;
use crate::connection::{self, Listener};
use crate::request::ForwardServer;

/// Maximum rate of this process's calls to the store, per second.
const STORE_CALL_RATE: Rate = Rate(50.0);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);
const TICK_PERIOD: Millis = Millis(100);
/// Maximum time that a stop waits for requests: the longest deadline of a request.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// State that all tasks of the process share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) gate: GateHandle,
    pub(crate) peers: Peers,
    pub(crate) connector: Connector,
    pub(crate) client: JsonClient,
    pub(crate) store: Etcd,
    pub(crate) claimer: Claimer,
    pub(crate) timers: TimerService<SystemClock>,
    pub(crate) forward_server: ForwardServer,
    /// What callers make this VM hold.
    pub(crate) callers: CallerAccount,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) drain: watch::Sender<bool>,
    next_request: AtomicU64,
}

impl Gateway {
    /// Returns what this VM has observed of the store.
    pub(crate) fn store_observation(&self) -> StoreObservation {
        let detector = self.store.rollback_detector();
        StoreObservation {
            revision: detector.highest_revision().0,
            quarantine: detector.quarantine(),
        }
    }

    /// Applies what another VM has observed of the store.
    pub(crate) fn on_store_observation(&self, observation: StoreObservation) {
        self.store
            .rollback_detector()
            .on_peer_observation(Revision(observation.revision), observation.quarantine);
    }

    /// Returns a new request id.
    pub(crate) fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{number:x}", self.settings.vm, self.incarnation.0)
    }
}

/// A running gateway process.
#[derive(Debug)]
pub struct Daemon {
    gateway: Arc<Gateway>,
    listener: Listener,
}

impl Daemon {
    /// Starts the gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if one of its addresses cannot be bound.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let clock = SystemClock::default();
        let incarnation = Incarnation(clock.wall().0);
        let bind = async |address| {
            TcpListener::bind(address)
                .await
                .wrap_err_with(|| format!("cannot listen on {address}"))
        };
        let callers = bind(settings.listen).await?;
        let operators = bind(settings.operator_listen).await?;
        let gate = GateHandle::start(new_gate(&settings, incarnation), clock);
        let store = Etcd::new(
            settings.platform.store,
            STORE_TIMEOUT,
            STORE_CALL_RATE,
            settings.limits.retention,
        );
        let forward_server = ForwardServer::default();
        let peers = sw_peer::start(settings.peer_listen, forward_server.handler(gate.clone()));
        let peers = peers.wrap_err_with(|| format!("cannot listen on {}", settings.peer_listen))?;
        let gateway = Arc::new(Gateway {
            incarnation,
            gate,
            peers,
            connector: Connector::new(CONNECT_TIMEOUT),
            client: JsonClient::new(PLATFORM_TIMEOUT),
            claimer: Claimer::start(store.clone(), settings.limits.retention),
            store,
            timers: TimerService::new(clock),
            forward_server,
            callers: CallerAccount::new(connection::limit_options(&settings.limits)),
            metrics: telemetry::recorder(),
            drain: watch::channel(false).0,
            next_request: AtomicU64::new(0),
            settings,
        });
        gateway.forward_server.attach(&gateway);
        spawn_tasks(&gateway, operators);
        let listener = connection::listen(callers, Arc::clone(&gateway));
        let settings = &gateway.settings;
        info!("started", kv: {
            vm = settings.vm.as_str(),
            domain = settings.domain.as_str(),
            region = settings.region.as_str(),
            incarnation = incarnation.0,
        });
        Ok(Self { gateway, listener })
    }

    /// Waits until an operator requests a drain of this VM.
    pub async fn drain_requested(&self) {
        let mut drain = self.gateway.drain.subscribe();
        let _ended = drain.wait_for(|drain| *drain).await;
    }

    /// Stops gracefully, without interrupting a request.
    ///
    /// Removes this VM from all lists of entry VMs, serves until the entries that callers hold have expired, then waits
    /// for the requests in progress.
    pub async fn stop(self) {
        info!("stopping");
        let Self { gateway, listener } = self;
        gateway.drain.send_replace(true);
        let _stopped = gateway.gate.run(|gate, _| gate.leave()).await;
        super::directory::leave(&gateway).await;
        super::heartbeats::send_to_all(&gateway).await;
        tokio::time::sleep(Duration::from_millis(gateway.settings.limits.entry_ttl.0)).await;
        let requests_completed = async {
            listener.shutdown().await;
            while gateway.forward_server.active() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        if tokio::time::timeout(DRAIN_TIMEOUT, requests_completed).await.is_err() {
            warn!("requests are still in progress after the drain timeout");
        }
    }
}

fn new_gate(settings: &Settings, incarnation: Incarnation) -> Gate {
    let local = VmRow {
        vm: settings.vm.clone(),
        incarnation,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        listen: settings.listen,
        peer_listen: settings.peer_advertise.unwrap_or(settings.peer_listen),
        leaving: false,
        version: Version(0),
        size: sw_member::VmSize::default(),
    };
    let once = sw_once::Options {
        retention: settings.limits.retention,
        max_response_bytes: settings.limits.saved_response_memory,
        ..sw_once::Options::default()
    };
    Gate::new(
        local,
        Weighted,
        Options {
            once,
            seed: incarnation.0,
            ..Options::default()
        },
    )
}

fn spawn_tasks(gateway: &Arc<Gateway>, operators: TcpListener) {
    tokio::spawn(tick(Arc::clone(gateway)));
    tokio::spawn(super::heartbeats::run(Arc::clone(gateway)));
    tokio::spawn(super::poll::run(Arc::clone(gateway)));
    tokio::spawn(super::placement::run(Arc::clone(gateway)));
    tokio::spawn(super::directory::run(Arc::clone(gateway)));
    tokio::spawn(super::operator::run(operators, Arc::clone(gateway)));
    tokio::spawn(connection::watch_limits(Arc::clone(gateway)));
    tokio::spawn(config_sync::run(Arc::clone(gateway)));
}

async fn tick(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(TICK_PERIOD);
    loop {
        ticks.tick().await;
        gateway.gate.post(sw_gate::Gate::tick);
    }
}
