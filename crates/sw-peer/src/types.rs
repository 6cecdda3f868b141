//! Messages between the peer thread and the rest of the process.

use std::fmt;

use bytes::Bytes;
use sw_error::Refusal;
use sw_gate::{ConfigOffer, Envelope, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_unit::{Digest, WorkspaceId};
use tokio::sync::mpsc;

/// A request that is forwarded to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// What the gate has to know.
    pub envelope: Envelope,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The value of `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// A part of the answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardEvent {
    /// The first: status and content type.
    Head {
        /// HTTP status.
        status: u16,
        /// The value of `Content-Type`.
        content_type: String,
    },
    /// The next part of the body.
    Chunk(Bytes),
    /// The last: the answer is whole, or the request is refused.
    End(Result<(), Refusal>),
    /// No connection was made, so nothing was sent.
    NotSent,
}

/// A call to another VM failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerError;

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call to the other VM failed")
    }
}

impl std::error::Error for PeerError {}

/// Answers calls from other VMs.
pub trait Handler: Clone + Send + 'static {
    /// Takes in a heartbeat and returns the own one.
    fn on_heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = Option<Heartbeat>> + Send;

    /// The configuration in force, for a VM that runs the one with the digest `known`.
    fn configuration(&self, known: Option<Digest>) -> impl Future<Output = Option<ConfigOffer>> + Send;

    /// Begins a forwarded request; its answer goes to `events`, and it is given up when they are closed.
    fn on_forwarded_request(
        &self,
        forward: ForwardedRequest,
        events: mpsc::Sender<ForwardEvent>,
    ) -> impl Future<Output = ()> + Send;

    /// What is known of a request.
    fn ticket_status(
        &self,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> impl Future<Output = Option<TicketStatus>> + Send;
}
