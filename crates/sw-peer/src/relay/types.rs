//! Messages about discovered services.

use std::time::Duration;

use bytes::Bytes;
use sw_error::Refusal;
use sw_relay::{Grant, Heartbeat, QueueEstimate, Reservation, ReservationUpdate};
use sw_store::{Changes, Snapshot};
use sw_unit::{EndpointId, Millis};
use tokio::sync::mpsc;

/// A request that is forwarded to another VM, which runs it on one endpoint at most.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// How long the caller still waits.
    pub remaining: Millis,
    /// The body.
    pub body: Bytes,
    /// VMs that it passed.
    pub hops: u32,
    /// Whether the sender can send it elsewhere if it is not answered soon.
    pub can_retry_elsewhere: bool,
    /// The id of the last event that the caller got of an answer that broke off.
    pub resume_after: Option<String>,
}

/// A part of the answer to a forwarded request.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayEvent {
    /// The first.
    Head {
        /// HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(String, Bytes)>,
    },
    /// The next part of the body.
    Chunk(Bytes),
    /// The last: the answer is whole, or the request is refused.
    End(Result<(), Refusal>),
    /// No connection was made, so nothing was sent.
    NotSent,
}

/// What a VM answers to one that follows the store through it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// What changed, which may be nothing.
    Changes {
        /// The changes.
        changes: Changes,
        /// Time since the store answered again after an outage, if that is not long ago.
        recovered_ago: Option<Millis>,
    },
    /// The VM no longer knows what changed; its snapshot is needed.
    HistoryGone,
    /// The VM is not in touch with the store itself.
    NotCurrent,
}

/// Answers calls from other VMs.
pub trait RelayHandler: Clone + 'static {
    /// Takes in a heartbeat and returns the own one.
    fn on_heartbeat(&self, beat: Heartbeat) -> Heartbeat;

    /// What this VM knows of the platform's store.
    fn snapshot(&self) -> Snapshot;

    /// Waits up to `wait` until the store changes after the revision `after`, and returns the changes.
    fn watch(&self, after: u64, wait: Duration) -> impl Future<Output = WatchOutcome>;

    /// Grants a place in the queue of an engine.
    ///
    /// # Errors
    ///
    /// Returns how busy the engine is if that is more than the reservation allows.
    fn reserve(&self, reservation: &Reservation) -> Result<Grant, QueueEstimate>;

    /// Takes in how far a request came for which a place in an engine's queue was granted.
    fn on_reservation_update(&self, endpoint: &EndpointId, ticket: u64, release: ReservationUpdate);

    /// Runs a forwarded request; its answer goes to `events`. It is given up when the future is dropped.
    fn on_forwarded_request(&self, call: RelayCall, events: mpsc::Sender<RelayEvent>) -> impl Future<Output = ()>;
}
