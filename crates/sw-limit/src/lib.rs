//! Limits on what callers can make a VM hold: connections, unfinished heads and bodies, and responses that they read
//! slowly. Other VMs that forward requests are charged like callers.
//!
//! One account covers all of it. It has a bound in total and a share for each caller address. What a caller holds is
//! taken as its bytes arrive, by guards that give it back when they are dropped. While the account is full, callers that
//! make no progress are ended, those with the least recent progress first; if there are none, what asks for more is
//! refused. A part of it is left to small requests, and responses wait for room instead. Nothing here has a socket or a clock.

mod entry;
mod ledger;
mod limit;
mod options;
mod response;

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sw_unit::{Millis, Time};
use tokio::sync::oneshot;

use ledger::Ledger;
pub use limit::{Limit, LimitReport};
pub use options::LimitOptions;
pub use response::{HeldPart, Payer, ResponseMemory};

/// The account of one VM; clones share it.
#[derive(Debug, Clone)]
pub struct CallerAccount(Arc<Mutex<Ledger>>);

impl CallerAccount {
    /// Creates an account with these limits.
    pub fn new(options: LimitOptions) -> Self {
        Self(Arc::new(Mutex::new(Ledger::new(options))))
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits; what is held stays.
    pub fn set_options(&self, options: LimitOptions) {
        self.ledger().options = options;
    }

    /// Takes a connection from `address`; the receiver gets the limit for which it is to be closed.
    ///
    /// # Errors
    ///
    /// Returns the limit that does not permit it.
    pub fn open(&self, address: IpAddr, now: Time) -> Result<(Connection, oneshot::Receiver<Limit>), Limit> {
        let (tx, ended) = oneshot::channel();
        let id = self.ledger().open(address, tx, now)?;
        let connection = OpenConnection {
            account: self.clone(),
            id,
            address,
            requests: AtomicU64::new(0),
            is_broken: AtomicBool::new(false),
        };
        Ok((Connection(Arc::new(connection)), ended))
    }

    /// Ends the connections whose head has been incomplete for `header_timeout`, and the bodies of which nothing has
    /// arrived for `body_idle`.
    pub fn end_overdue(&self, header_timeout: Millis, body_idle: Millis, now: Time) {
        self.ledger().end_overdue(header_timeout, body_idle, now);
    }

    /// Returns the limits that have acted since the last call.
    pub fn take_reports(&self) -> Vec<LimitReport> {
        self.ledger().take_reports()
    }

    /// Returns who is charged for what this VM holds for `address`.
    pub fn payer(&self, address: IpAddr) -> Payer {
        Payer {
            account: self.clone(),
            address,
        }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.ledger().total.bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> u64 {
        self.ledger().total.connections
    }
}

/// A caller's connection; it is closed for the account when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Connection(Arc<OpenConnection>);

#[derive(Debug)]
struct OpenConnection {
    account: CallerAccount,
    id: u64,
    address: IpAddr,
    /// Number of requests whose response is not complete.
    requests: AtomicU64,
    /// Whether the caller has received a part of a response that has no end.
    is_broken: AtomicBool,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.account.ledger().remove(self.id);
    }
}

impl Connection {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.account.ledger()
    }

    /// Records bytes that were read; between requests they belong to a head.
    ///
    /// # Errors
    ///
    /// Returns the limit that does not permit them.
    pub fn on_read(&self, len: u64, now: Time) -> Result<(), Limit> {
        self.ledger().on_read(self.0.id, len, now)
    }

    /// Records that the caller has taken bytes of a response.
    pub fn on_written(&self, now: Time) {
        self.ledger().set_blocked(self.0.id, false, now);
    }

    /// Records that the caller does not take more bytes of a response.
    pub fn on_write_blocked(&self, now: Time) {
        self.ledger().set_blocked(self.0.id, true, now);
    }

    /// Records a complete head; the request ends when the guard is dropped.
    pub fn begin_request(&self, now: Time) -> RequestGuard {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        self.ledger().begin_request(self.0.id, now);
        RequestGuard(self.clone())
    }

    /// Records a complete head on a connection that may have several requests in progress.
    ///
    /// # Errors
    ///
    /// Returns the limit that does not permit the request.
    pub fn begin_stream(&self, now: Time) -> Result<RequestGuard, Limit> {
        self.ledger().begin_stream(self.0.id, self.0.address, now)?;
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        Ok(RequestGuard(self.clone()))
    }

    /// Records that a complete response waits for the caller to take it, until the guard is dropped.
    pub fn begin_unread(&self, now: Time) -> UnreadGuard {
        self.ledger().begin_unread(self.0.id, now);
        UnreadGuard(self.clone())
    }

    /// Records that a response breaks off.
    pub fn on_broken_response(&self) {
        self.0.is_broken.store(true, Ordering::Relaxed);
    }

    /// Records that the connection is closed now; a response that is not complete breaks off.
    pub fn on_ended(&self) {
        if self.0.requests.load(Ordering::Relaxed) > 0 {
            self.on_broken_response();
        }
    }

    /// Returns whether the connection must be reset, because its orderly end would make a part look complete.
    pub fn must_reset(&self) -> bool {
        self.0.is_broken.load(Ordering::Relaxed)
    }

    /// Begins the body of a request; the receiver gets the limit for which it is to be refused.
    pub fn begin_body(&self, now: Time) -> (BodyGuard, oneshot::Receiver<Limit>) {
        let (tx, ended) = oneshot::channel();
        let id = self.ledger().begin_body(self.0.id, self.0.address, tx, now);
        let body = BodyGuard {
            account: self.0.account.clone(),
            id,
            address: self.0.address,
        };
        (body, ended)
    }

    /// Takes memory for a complete response, also if the account is full; callers that make no progress are ended then.
    pub fn hold(&self, bytes: u64, now: Time) -> HeldPart {
        self.payer().hold(bytes, now)
    }

    /// Returns who is charged for what this VM holds for the caller.
    pub fn payer(&self) -> Payer {
        self.0.account.payer(self.0.address)
    }
}

/// A request whose response is not complete yet.
#[derive(Debug)]
pub struct RequestGuard(Connection);

impl RequestGuard {
    /// Returns the connection that the request came on.
    pub fn connection(&self) -> &Connection {
        &self.0
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.ledger().end_request(self.0.0.id);
    }
}

/// A complete response that the caller has not taken yet.
#[derive(Debug)]
pub struct UnreadGuard(Connection);

impl UnreadGuard {
    /// Records that the caller has taken a part of the response.
    pub fn on_taken(&self, now: Time) {
        self.0.ledger().on_taken(self.0.0.id, now);
    }
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        self.0.ledger().end_unread(self.0.0.id);
    }
}

/// The memory of an unfinished body.
#[derive(Debug)]
pub struct BodyGuard {
    account: CallerAccount,
    id: u64,
    address: IpAddr,
}

impl BodyGuard {
    /// Takes memory for bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Returns the limit that does not permit them.
    pub fn grow(&self, len: u64, now: Time) -> Result<(), Limit> {
        self.account.ledger().grow_body(self.id, len, now)
    }

    /// Returns the memory of the body, which is complete now.
    pub fn finish(self) -> HeldMemory {
        let bytes = self.account.ledger().finish_body(self.id);
        HeldMemory {
            account: self.account.clone(),
            address: self.address,
            bytes,
        }
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.account.ledger().remove(self.id);
    }
}

/// Memory that is held for a caller until the guard is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    account: CallerAccount,
    address: IpAddr,
    bytes: u64,
}

impl HeldMemory {
    /// Returns bytes that give the memory back when their last clone is dropped.
    pub fn attach(self, bytes: bytes::Bytes) -> bytes::Bytes {
        bytes::Bytes::from_owner(HeldBytes { bytes, _held: self })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.account.ledger().release(self.address, self.bytes);
    }
}

struct HeldBytes {
    bytes: bytes::Bytes,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
