//! What all parts of a proxy share.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sw_http::Connector;
use sw_peer::relay::RelayClient;
use sw_relay::Relay;
use sw_store::Mirror;
use sw_time::{BootClock, Clock as _, TimerService};
use sw_unit::{Millis, Time};
use tokio::sync::Notify;

use crate::Options;

/// Time for a connection to an endpoint to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// Requests are served.
    Serving,
    /// Callers are sent elsewhere since this time, and what still comes is served.
    Draining(Time),
}

/// Counts a request while it is served, up to the end of its answer.
#[derive(Debug)]
pub(crate) struct ActiveGuard<D, F>(Rc<ProxyState<D, F>>);

impl<D, F> ActiveGuard<D, F> {
    pub(crate) fn new(state: &Rc<ProxyState<D, F>>) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self(Rc::clone(state))
    }
}

impl<D, F> Drop for ActiveGuard<D, F> {
    fn drop(&mut self) {
        let remaining = self.0.active_requests.get().saturating_sub(1);
        self.0.active_requests.set(remaining);
        if remaining == 0 {
            self.0.idle.notify_waiters();
        }
    }
}

/// The shared state; used from one thread.
#[derive(Debug)]
pub(crate) struct ProxyState<D, F> {
    options: RefCell<Options>,
    pub(crate) dialect: D,
    pub(crate) feed: F,
    pub(crate) clock: BootClock,
    pub(crate) timer: TimerService<BootClock>,
    pub(crate) relay: RefCell<Relay>,
    pub(crate) mirror: RefCell<Mirror>,
    pub(crate) connector: Connector,
    pub(crate) peers: RelayClient,
    pub(crate) lifecycle: Cell<Lifecycle>,
    /// Bytes of bodies that are being read or sent.
    pub(crate) body_bytes: Cell<u64>,
    /// Requests that are being served, for callers and for other VMs.
    pub(crate) active_requests: Cell<usize>,
    /// Signalled when the last active request ends.
    pub(crate) idle: Notify,
    /// Whether another VM's copy of the store is being read.
    pub(crate) is_copying: Cell<bool>,
    /// Signalled when the copy of the store changed, or the store was lost.
    pub(crate) store_changed: Notify,
    /// When the store itself last answered this VM.
    pub(crate) store_responded_at: Cell<Option<Time>>,
    /// When the store answered again after its last outage; `None` if there was none.
    pub(crate) store_recovered_at: Cell<Option<Time>>,
    /// When the store was lost; `None` while it answers.
    pub(crate) store_unavailable_since: Cell<Option<Time>>,
    started_at: Time,
}

impl<D, F> ProxyState<D, F> {
    pub(crate) fn new(options: Options, dialect: D, feed: F, clock: BootClock, relay: Relay) -> Self {
        Self {
            options: RefCell::new(options),
            dialect,
            feed,
            clock,
            timer: TimerService::new(clock),
            relay: RefCell::new(relay),
            mirror: RefCell::default(),
            connector: Connector::new(CONNECT_TIMEOUT),
            peers: RelayClient::default(),
            lifecycle: Cell::new(Lifecycle::Serving),
            body_bytes: Cell::new(0),
            active_requests: Cell::new(0),
            idle: Notify::new(),
            is_copying: Cell::new(false),
            store_changed: Notify::new(),
            store_responded_at: Cell::new(None),
            store_recovered_at: Cell::new(None),
            store_unavailable_since: Cell::new(None),
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

    /// Time since the store answered again after an outage, or since the start if there was none.
    pub(crate) fn store_available_for(&self) -> Millis {
        self.now()
            .since(self.store_recovered_at.get().unwrap_or(self.started_at))
    }

    /// Time since the planned stop began; `None` while requests are served.
    pub(crate) fn draining_for(&self) -> Option<Millis> {
        match self.lifecycle.get() {
            Lifecycle::Serving => None,
            Lifecycle::Draining(since) => Some(self.now().since(since)),
        }
    }

    /// Waits until no request is being served.
    pub(crate) async fn wait_drained(&self) {
        while self.active_requests.get() > 0 {
            self.idle.notified().await;
        }
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.lifecycle.get() == Lifecycle::Serving && self.relay.borrow().table().is_some()
    }
}
