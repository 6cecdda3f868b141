//! The requests in progress, and what each of them waits for.
//!
//! What is recorded here decides nothing; it is for the log lines of a planned stop. A stop ends when no request is left.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use indexmap::IndexMap;
use strum::IntoStaticStr;
use sw_relay::AdmittedRequest;
use sw_unit::{EndpointId, Millis, Time, VmId};
use tokio::sync::Notify;

/// What a request in progress waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ActiveStage {
    /// The head of a response.
    Head,
    /// The body of the response, from its source.
    Body,
    /// The caller, or the VM that forwarded the request: it has not taken yet what was received for it.
    Delivery,
}

/// Where the response to a request comes from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum ResponseSource {
    /// An endpoint of this region.
    Endpoint(EndpointId),
    /// Another VM, which relays the response of an endpoint.
    Vm(VmId),
}

impl fmt::Display for ResponseSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(endpoint) => f.write_str(endpoint.as_str()),
            Self::Vm(vm) => f.write_str(vm.as_str()),
        }
    }
}

/// The requests in progress, from callers and from other VMs.
#[derive(Debug, Default)]
pub(crate) struct ActiveRequests {
    entries: RefCell<IndexMap<u64, Weak<ActiveEntry>>>,
    next_key: Cell<u64>,
    /// Notified when the last request ends.
    idle: Notify,
}

impl ActiveRequests {
    /// Adds a request that was received at `now`.
    pub(crate) fn begin(self: &Rc<Self>, now: Time) -> ActiveRequest {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let entry = Rc::new(ActiveEntry {
            requests: Rc::clone(self),
            key,
            received_at: now,
            id: RefCell::new(Arc::from("")),
            route: RefCell::default(),
            source: RefCell::default(),
            stage: Cell::new(ActiveStage::Head),
            progress_at: Cell::new(now),
            chunks: Cell::new(0),
        });
        self.entries.borrow_mut().insert(key, Rc::downgrade(&entry));
        ActiveRequest(entry)
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns the requests, the oldest first.
    pub(crate) fn by_age(&self) -> Vec<ActiveRequest> {
        let entries: Vec<_> = self.entries.borrow().values().filter_map(Weak::upgrade).collect();
        let mut requests: Vec<_> = entries.into_iter().map(ActiveRequest).collect();
        requests.sort_by_key(|request| request.0.key);
        requests
    }

    /// Waits until there is no request.
    pub(crate) async fn wait_idle(&self) {
        while self.len() > 0 {
            self.idle.notified().await;
        }
    }
}

/// A request in progress; it ends when the last clone is dropped.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRequest(Rc<ActiveEntry>);

impl ActiveRequest {
    /// Records the id and the route.
    pub(crate) fn on_admitted(&self, admitted: &AdmittedRequest) {
        *self.0.id.borrow_mut() = Arc::clone(&admitted.id);
        self.0.route.borrow_mut().clone_from(&admitted.route.name);
    }

    /// Records that the request is sent to `source`.
    pub(crate) fn on_sent(&self, source: ResponseSource, now: Time) {
        *self.0.source.borrow_mut() = Some(source);
        self.0.stage.set(ActiveStage::Head);
        self.0.progress_at.set(now);
        self.0.chunks.set(0);
    }

    /// Records that the head of a response was received.
    pub(crate) fn on_head(&self, now: Time) {
        self.0.stage.set(ActiveStage::Body);
        self.0.progress_at.set(now);
    }

    /// Records that a part of the body was received.
    pub(crate) fn on_chunk(&self, now: Time) {
        self.0.progress_at.set(now);
        self.0.chunks.set(self.0.chunks.get() + 1);
    }

    /// Records what the request waits for.
    pub(crate) fn set_stage(&self, stage: ActiveStage) {
        self.0.stage.set(stage);
    }

    /// Returns the id; empty before the request is admitted.
    pub(crate) fn id(&self) -> Arc<str> {
        Arc::clone(&self.0.id.borrow())
    }

    /// Returns the name of the route; empty before the request is admitted.
    pub(crate) fn route(&self) -> String {
        self.0.route.borrow().clone()
    }

    /// Returns to what the request was sent last; `None` if it was not sent.
    pub(crate) fn source(&self) -> Option<ResponseSource> {
        self.0.source.borrow().clone()
    }

    /// Returns what the request waits for.
    pub(crate) fn stage(&self) -> ActiveStage {
        self.0.stage.get()
    }

    /// Returns the number of parts of the body that were received from the source.
    pub(crate) fn chunks(&self) -> u64 {
        self.0.chunks.get()
    }

    /// Returns the time since the request was received.
    pub(crate) fn age(&self, now: Time) -> Millis {
        now.since(self.0.received_at)
    }

    /// Returns the time since anything of the response was received, or since the request was sent if nothing was.
    pub(crate) fn silent_for(&self, now: Time) -> Millis {
        now.since(self.0.progress_at.get())
    }
}

#[derive(Debug)]
struct ActiveEntry {
    requests: Rc<ActiveRequests>,
    key: u64,
    received_at: Time,
    id: RefCell<Arc<str>>,
    /// Name of the route.
    route: RefCell<String>,
    source: RefCell<Option<ResponseSource>>,
    stage: Cell<ActiveStage>,
    /// When something of the response was last received, or the request sent.
    progress_at: Cell<Time>,
    chunks: Cell<u64>,
}

impl Drop for ActiveEntry {
    fn drop(&mut self) {
        self.requests.entries.borrow_mut().swap_remove(&self.key);
        if self.requests.len() == 0 {
            self.requests.idle.notify_waiters();
        }
    }
}
