//! What holds memory or connections, and whether its caller makes progress.

use std::net::IpAddr;

use sw_unit::{Millis, Time};
use tokio::sync::oneshot;

use crate::Limit;

/// Bytes of a body that count as progress; a body that grows byte by byte would never be the one without progress.
const PROGRESS_BYTES: u64 = 1 << 10;
/// Length in bytes up to which a body counts as small.
const SMALL_BODY_BYTES: u64 = 64 << 10;
/// Time without progress after which a caller is ended while the account is full.
const STALLED_AFTER: Millis = Millis(1_000);

/// What a caller holds, or asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Resource {
    Memory(Purpose),
    Connection,
    Request,
}

/// What memory is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Head,
    /// A body of which at most [`SMALL_BODY_BYTES`] have arrived.
    SmallBody,
    LargeBody,
    Response,
}

impl Purpose {
    /// Returns the purpose of memory for a body of `len` bytes.
    pub(crate) fn of_body(len: u64) -> Self {
        if len <= SMALL_BODY_BYTES {
            Self::SmallBody
        } else {
            Self::LargeBody
        }
    }
}

#[derive(Debug)]
pub(crate) enum Holder {
    Connection(ConnectionState),
    Body(BodyState),
}

#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Number of requests whose response is not complete.
    pub(crate) requests: u64,
    /// Number of requests whose body is not complete.
    pub(crate) bodies: u64,
    /// Number of complete responses of HTTP/2 streams that the caller has not taken yet.
    pub(crate) unread: u64,
    /// When the first byte of an incomplete head arrived.
    pub(crate) head_since: Option<Time>,
    /// Whether the caller does not take bytes of a response.
    pub(crate) is_blocked: bool,
}

impl ConnectionState {
    /// Returns whether all that the connection is open for waits for the caller.
    fn waits_for_caller(&self) -> bool {
        self.requests == self.bodies || self.is_blocked || self.unread > 0
    }
}

/// A body that is not complete.
#[derive(Debug)]
pub(crate) struct BodyState {
    /// Entry of the connection that it comes on.
    pub(crate) connection: u64,
    /// Bytes since the last progress.
    pub(crate) since_progress: u64,
    pub(crate) last_byte_at: Time,
}

impl BodyState {
    /// Records bytes that have arrived, and returns whether they are progress.
    pub(crate) fn on_bytes(&mut self, len: u64, now: Time) -> bool {
        self.since_progress += len;
        self.last_byte_at = now;
        let is_progress = self.since_progress >= PROGRESS_BYTES;
        if is_progress {
            self.since_progress = 0;
        }
        is_progress
    }
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) holder: Holder,
    pub(crate) address: IpAddr,
    pub(crate) bytes: u64,
    pub(crate) progress_at: Time,
    /// Tells the holder to end.
    pub(crate) end: oneshot::Sender<Limit>,
}

impl Entry {
    pub(crate) fn connection_mut(&mut self) -> Option<&mut ConnectionState> {
        match &mut self.holder {
            Holder::Connection(state) => Some(state),
            Holder::Body(_) => None,
        }
    }

    /// Returns whether the holder waits for its caller, who makes no progress.
    pub(crate) fn is_stalled(&self, needed: Resource, now: Time) -> bool {
        let waits = match (&self.holder, needed) {
            (Holder::Body(_), Resource::Memory(_)) => true,
            (Holder::Body(_), Resource::Connection | Resource::Request) => false,
            (Holder::Connection(state), Resource::Memory(_)) => {
                state.head_since.is_some() || state.is_blocked || state.unread > 0
            }
            (Holder::Connection(state), Resource::Request) => state.requests > 0 && state.waits_for_caller(),
            (Holder::Connection(state), Resource::Connection) => state.waits_for_caller(),
        };
        waits && now.since(self.progress_at) >= STALLED_AFTER
    }
}
