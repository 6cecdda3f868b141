//! Messages about discovered services.

use bytes::Bytes;
use sw_error::Refusal;
use sw_relay::Beat;
use sw_store::Snapshot;
use sw_unit::Millis;
use tokio::sync::mpsc;

/// A request that is forwarded to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// How long the caller still waits.
    pub left: Millis,
    /// The body.
    pub body: Bytes,
    /// VMs that it passed.
    pub hops: u32,
    /// Endpoints on which it may still run.
    pub attempts: u32,
}

/// A part of the answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
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

/// Answers calls from other VMs.
pub trait RelayHandler: Clone + 'static {
    /// Takes in a heartbeat and returns the own one.
    fn exchange(&self, beat: Beat) -> Beat;

    /// What this VM knows of the platform's store.
    fn snapshot(&self) -> Snapshot;

    /// Runs a forwarded request; its answer goes to `events`. It is given up when the future is dropped.
    fn relay(&self, call: RelayCall, events: mpsc::Sender<RelayEvent>) -> impl Future<Output = ()>;
}
