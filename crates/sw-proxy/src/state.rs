//! State shared by the tasks of a proxy.

use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use sw_chunk::ChunkStore;
use sw_http::Connector;
use sw_limit::CallerAccount;
use sw_peer::relay::RelayClient;
use sw_relay::{AdmittedRequest, NewsScope, Relay};
use sw_store::Mirror;
use sw_time::{BootClock, Clock as _, TimerService};
use sw_unit::{Millis, Time};
use tokio::sync::Notify;

use crate::active::ActiveRequests;
use crate::persist::Exceptions;
use crate::startup::Startup;
use crate::{MalformedItems, Options};

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Lifecycle of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// The VM serves requests and is offered to callers.
    Serving,
    /// The VM has been leaving since this time and is no longer offered to callers; it still serves requests that
    /// arrive.
    Draining(Time),
}

/// Shared state, used from one thread.
#[derive(Debug)]
pub(crate) struct ProxyState<D, F> {
    options: RefCell<Options>,
    pub(crate) dialect: D,
    pub(crate) feed: F,
    pub(crate) clock: BootClock,
    pub(crate) timer: TimerService<BootClock>,
    pub(crate) relay: RefCell<Relay>,
    pub(crate) mirror: RefCell<Mirror<D>>,
    /// Chunks of large items.
    pub(crate) chunks: RefCell<ChunkStore>,
    /// Notified when a large item was announced, whose value is to be collected.
    pub(crate) item_announced: Notify,
    /// Items of the mirror that cannot be decoded.
    pub(crate) malformed: RefCell<MalformedItems>,
    pub(crate) connector: Connector,
    pub(crate) peers: RelayClient,
    pub(crate) lifecycle: Cell<Lifecycle>,
    /// What callers make this VM hold.
    pub(crate) callers: CallerAccount,
    /// Requests in progress, from callers and from other VMs.
    pub(crate) active: Rc<ActiveRequests>,
    /// Notified when this VM starts to drain.
    pub(crate) drain_started: Notify,
    /// Notified when a suspect of crashes is quarantined or released.
    pub(crate) quarantine_changed: Notify,
    /// Notified when a path to an endpoint is lost.
    pub(crate) path_lost: Notify,
    /// Notified when an endpoint may be cold.
    pub(crate) cold_suspected: Notify,
    /// Notified when the pool keeps a connection.
    pub(crate) connection_kept: Notify,
    /// Notified when an endpoint has answered a health check.
    pub(crate) health_answered: Notify,
    /// Addresses of the endpoints whose paths are being checked.
    pub(crate) checked_paths: RefCell<IndexSet<SocketAddr>>,
    /// When this VM last sent news of crashes to others.
    pub(crate) crash_announced_at: Cell<Option<Time>>,
    /// The VMs to which crashes are to be announced shortly.
    pub(crate) crash_news: Cell<Option<NewsScope>>,
    /// Whether origins of streams are being replicated.
    pub(crate) is_replicating_origins: Cell<bool>,
    /// Origins of streams that begin elsewhere than placed.
    pub(crate) exceptions: Exceptions,
    /// Held while the mirror is brought up to date for a request.
    pub(crate) refresh_turn: tokio::sync::Mutex<()>,
    /// When the last call that brought it up to date was made.
    pub(crate) refreshed_at: Cell<Option<Time>>,
    /// Whether a snapshot of the store is being copied from another VM.
    pub(crate) is_copying: Cell<bool>,
    /// Notified when the mirror may retain further states that the store has lost.
    pub(crate) retained_changed: Notify,
    /// Whether the store's last response did not state the era, although an earlier one did.
    pub(crate) is_era_missing: Cell<bool>,
    /// Notified when the mirror changes or the store becomes unavailable.
    pub(crate) store_changed: Notify,
    /// Time of the store's last response to a request of this VM.
    pub(crate) store_responded_at: Cell<Option<Time>>,
    /// Time at which the store recovered from its last outage; `None` if there was none.
    pub(crate) store_recovered_at: Cell<Option<Time>>,
    /// Time at which the store became unavailable; `None` while it responds.
    pub(crate) store_unavailable_since: Cell<Option<Time>>,
    pub(crate) startup: Startup,
    started_at: Time,
}

impl<D, F> ProxyState<D, F> {
    pub(crate) fn new(options: Options, dialect: D, feed: F, clock: BootClock, relay: Relay) -> Self
    where
        D: Clone,
    {
        Self {
            callers: CallerAccount::new(options.callers),
            options: RefCell::new(options),
            mirror: RefCell::new(Mirror::new(dialect.clone())),
            dialect,
            feed,
            clock,
            timer: TimerService::new(clock),
            relay: RefCell::new(relay),
            malformed: RefCell::default(),
            connector: Connector::new(CONNECT_TIMEOUT),
            peers: RelayClient::default(),
            lifecycle: Cell::new(Lifecycle::Serving),
            active: Rc::default(),
            drain_started: Notify::new(),
            quarantine_changed: Notify::new(),
            chunks: RefCell::default(),
            item_announced: Notify::new(),
            path_lost: Notify::new(),
            cold_suspected: Notify::new(),
            connection_kept: Notify::new(),
            health_answered: Notify::new(),
            checked_paths: RefCell::default(),
            crash_announced_at: Cell::new(None),
            crash_news: Cell::new(None),
            is_replicating_origins: Cell::new(false),
            exceptions: Exceptions::default(),
            refresh_turn: tokio::sync::Mutex::new(()),
            refreshed_at: Cell::new(None),
            is_copying: Cell::new(false),
            retained_changed: Notify::new(),
            is_era_missing: Cell::new(false),
            store_changed: Notify::new(),
            store_responded_at: Cell::new(None),
            store_recovered_at: Cell::new(None),
            store_unavailable_since: Cell::new(None),
            startup: Startup::default(),
            started_at: clock.now(),
        }
    }

    pub(crate) fn options(&self) -> Ref<'_, Options> {
        self.options.borrow()
    }

    pub(crate) fn set_options(&self, options: Options) {
        *self.options.borrow_mut() = options;
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time since the store recovered from its last outage, or since startup if there was none.
    pub(crate) fn store_available_for(&self) -> Millis {
        self.now()
            .since(self.store_recovered_at.get().unwrap_or(self.started_at))
    }

    /// Returns the time since draining started, or `None` if this VM isn't draining.
    pub(crate) fn draining_for(&self) -> Option<Millis> {
        match self.lifecycle.get() {
            Lifecycle::Serving => None,
            Lifecycle::Draining(since) => Some(self.now().since(since)),
        }
    }

    /// Waits until a request is quarantined.
    pub(crate) async fn wait_quarantined(&self, admitted: &AdmittedRequest) {
        loop {
            let changed = self.quarantine_changed.notified();
            if self.relay.borrow().quarantined(admitted, self.now()).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether this VM is ready to receive requests.
    pub(crate) fn is_ready(&self) -> bool {
        let has_configuration = self.startup.is_over() && self.relay.borrow().table().is_some();
        self.lifecycle.get() == Lifecycle::Serving && has_configuration
    }
}
