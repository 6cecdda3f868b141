//! Messages of the calls about discovered services.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sw_chunk::Manifest;
use sw_error::Refusal;
use sw_limit::HeldMemory;
use sw_relay::{
    Borrower, Grant, Heartbeat, LeavingEndpoint, LoanReply, QueueEstimate, QuotaLoan, QuotaReply, QuotaTake,
    Reservation, ReservationUpdate, SoftwareVersion, StreamOrigin,
};
use sw_store::{AnnouncedItem, Changes, Snapshot};
use sw_unit::{Digest, EndpointId, Millis, StoreEra, Version};
use tokio::sync::mpsc;

/// Time between two reports of the same silence.
pub(super) const SILENCE_PERIOD: Duration = Duration::from_secs(1);

/// A request to forward to another VM, which sends it to at most one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Request headers.
    pub headers: Vec<(String, Bytes)>,
    /// Remaining time until the caller's deadline.
    pub remaining: Millis,
    /// Request body.
    pub body: Bytes,
    /// Number of VMs that have forwarded the request.
    pub hops: u32,
    /// Whether the sender can retry the request elsewhere if there is no response in time.
    pub can_retry_elsewhere: bool,
    /// Id of the last event that the caller received before the stream broke off.
    pub resume_after: Option<String>,
    /// The only software version at which the request may run; `None` if any may run it.
    pub software: Option<SoftwareVersion>,
    /// Version of the configuration that the sender judges by; 0 if the sender does not state it.
    pub version: Version,
    /// Bytes of the response that may be on the way to the sender; `None` if the sender does not state it.
    pub response_window: Option<u32>,
}

/// The refusal of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// Version of the configuration by which the VM refused; 0 if the VM does not state it.
    pub version: Version,
}

/// How the call of a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallEnd {
    /// Length of the response body in bytes.
    pub(super) len: u64,
    /// Whether the request was refused.
    pub(super) outcome: Result<(), CallRefusal>,
}

impl CallEnd {
    /// Returns the end of a call that is refused before there is a response.
    pub(super) fn refused(refusal: CallRefusal) -> Self {
        Self {
            len: 0,
            outcome: Err(refusal),
        }
    }
}

/// A part of the response to a forwarded request.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayEvent {
    /// The first event of a response: its status and headers.
    Head {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: Vec<(String, Bytes)>,
        /// The software version of the endpoint; `None` if it does not state one.
        software: Option<SoftwareVersion>,
    },
    /// A chunk of the body.
    Chunk(Bytes),
    /// Nothing was received from the VM for a while, although it was asked for a reply; more may still follow.
    Silent(Silence),
    /// The last event: the response is complete, or the request is refused.
    End(Result<(), CallRefusal>),
    /// The last event: the response broke off.
    Broken,
    /// The only event: nothing was sent.
    NotSent(NotSent),
}

/// The silence of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time without a received byte when it was found.
    pub duration: Millis,
    /// When it was found.
    pub found_at: Instant,
    /// Whether it was not reported before.
    pub is_first: bool,
}

impl Silence {
    /// Returns whether it was found just now; one that lasts is reported again.
    pub fn is_current(&self) -> bool {
        self.found_at.elapsed() < SILENCE_PERIOD
    }
}

/// Why nothing of a forwarded request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// No connection was established.
    NoConnection,
    /// When there was a connection, the request was no longer permitted to be sent.
    NotPermitted,
}

/// A VM's copy of the platform's store, and what the VM knows beyond it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreCopy {
    /// The copy; large values are empty.
    pub snapshot: Snapshot,
    /// The large values.
    pub large: Vec<LargeValue>,
    /// Items that were written and whose values the VM does not have yet.
    pub announced: Vec<AnnouncedItem>,
    /// Endpoints that were seen leaving, whatever their registrations say.
    pub leaving: Vec<LeavingEndpoint>,
}

/// A large value of a copy of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LargeValue {
    /// Where it belongs.
    pub place: ValuePlace,
    /// Its chunks.
    pub manifest: Manifest,
}

/// Place of a value in a copy of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ValuePlace {
    /// The item at this index.
    Item(usize),
    /// The retained state at this index.
    Retained(usize),
}

/// A call of a VM that follows the store through another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchQuery {
    /// Era of the store that the caller is in; `None` if it knows no eras.
    pub era: Option<StoreEra>,
    /// Revision up to which the caller knows all changes.
    pub after: u64,
    /// Time to wait for changes.
    pub wait: Duration,
    /// Whether the caller collects large values chunk by chunk.
    pub takes_chunks: bool,
}

/// The response of a watcher to a VM that follows the store through it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes; empty if there were none.
    Changes {
        /// The changes.
        changes: Changes,
        /// Large items that were written; their values are collected chunk by chunk.
        announced: Vec<AnnouncedItem>,
        /// Time since the store recovered from an outage; `None` if that is long ago or there was none.
        recovered_ago: Option<Millis>,
        /// What the watcher knows of the newest configuration; `None` if it knows nothing.
        newest: Option<NewestVersion>,
    },
    /// The watcher no longer has these changes, or they are of an earlier era; its snapshot is needed.
    HistoryGone,
    /// The watcher has had no recent response from the store itself.
    NotCurrent,
}

/// A VM's proof that its version of the configuration was the newest one in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewestVersion {
    /// The version.
    pub version: Version,
    /// Age of the proof when the reply was made.
    pub age: Millis,
    /// Time from the arrival of the call to the reply.
    pub held_for: Millis,
}

/// Handles calls from other VMs.
pub trait RelayHandler: Clone + 'static {
    /// Processes a peer's heartbeat and returns that of this VM.
    fn on_heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;

    /// Returns this VM's copy of the platform's store; `None` if a peer that takes no chunks would miss what was written.
    fn store_copy(&self, takes_chunks: bool) -> Option<StoreCopy>;

    /// Waits up to the time given for changes of the store, and returns them.
    fn watch(&self, query: WatchQuery) -> impl Future<Output = WatchOutcome>;

    /// Returns packed chunks: of the first of `digests`, as many as are sent at once; an absent one is empty.
    fn chunks(&self, digests: &[Digest]) -> Vec<Bytes>;

    /// Grants or declines a slot in an engine's queue.
    ///
    /// # Errors
    ///
    /// Returns the estimate of the queue if it exceeds the limit of the reservation.
    fn reserve(&self, reservation: &Reservation) -> Result<Grant, QueueEstimate>;

    /// Processes the progress of a request with a granted reservation.
    fn on_reservation_update(&self, endpoint: &EndpointId, entry_id: u64, update: ReservationUpdate);

    /// Grants or refuses tokens of a quota.
    fn take_quota(&self, take: &QuotaTake) -> QuotaReply;

    /// Lends rate of quotas to another region.
    fn lend_quota(&self, borrower: &Borrower, asked: &[QuotaLoan]) -> LoanReply;

    /// Records how long work takes at an endpoint at this moment in percent, as it reported to another VM.
    fn on_slowdown(&self, endpoint: &EndpointId, percent: u32);

    /// Records which software versions started streams.
    fn on_origins(&self, origins: Vec<StreamOrigin>);

    /// Returns which software version started a stream, if this VM knows it.
    fn find_origin(&self, stream: &str) -> Option<StreamOrigin>;

    /// Records that a connection of another VM could not be accepted.
    fn on_accept_failed(&self, error: &std::io::Error);

    /// Takes memory for the body of a request that the VM at `from` wants to forward.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the request if there is no room.
    fn hold_body(&self, from: IpAddr, len: u64) -> Result<HeldMemory, CallRefusal>;

    /// Runs a request that the VM at `from` has forwarded, and sends the response to `events`; dropping the future cancels
    /// the request.
    fn on_forwarded_request(
        &self,
        from: IpAddr,
        call: RelayCall,
        events: mpsc::Sender<RelayEvent>,
    ) -> impl Future<Output = ()>;
}
