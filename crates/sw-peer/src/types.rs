//! Messages between the peer thread and the rest of the process.

use std::fmt;
use std::net::IpAddr;

use bytes::Bytes;
use sw_error::Refusal;
use sw_gate::{ConfigOffer, Envelope, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_unit::{Digest, WorkspaceId};
use tokio::sync::mpsc;

/// A request to forward to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Data for the gate of the other VM.
    pub envelope: Envelope,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Request body.
    pub body: Bytes,
}

/// A part of the response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardEvent {
    /// The first event of a response: its status and content type.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header.
        content_type: String,
    },
    /// A chunk of the body.
    Chunk(Bytes),
    /// The last event: the response is complete, or the request is refused.
    End(Result<(), Refusal>),
}

/// The error of a call to another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerError;

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call to the other VM failed")
    }
}

impl std::error::Error for PeerError {}

/// Handles calls from other VMs.
pub trait Handler: Clone + Send + 'static {
    /// Processes a peer's heartbeat and returns that of this VM; `None` if the process is stopping.
    fn on_heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = Option<Heartbeat>> + Send;

    /// Returns the current configuration for a peer that has the one with the digest `known`.
    fn configuration(&self, known: Option<Digest>) -> impl Future<Output = Option<ConfigOffer>> + Send;

    /// Starts a request that the VM at `from` has forwarded, and sends the response to `events`; closing the channel cancels
    /// the request.
    fn on_forwarded_request(
        &self,
        from: IpAddr,
        forwarded: ForwardedRequest,
        events: mpsc::Sender<ForwardEvent>,
    ) -> impl Future<Output = ()> + Send;

    /// Returns the status of a ticket; `None` if this VM does not own it.
    fn ticket_status(
        &self,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> impl Future<Output = Option<TicketStatus>> + Send;
}
