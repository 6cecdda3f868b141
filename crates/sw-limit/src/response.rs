//! Memory of responses until their readers have taken them.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use sw_unit::Time;

use crate::{CallerAccount, HeldMemory, Limit};

/// An address that is charged for what this VM holds.
#[derive(Debug, Clone)]
pub struct Payer {
    pub(crate) account: CallerAccount,
    pub(crate) address: IpAddr,
}

impl Payer {
    /// Takes memory for a body whose length is known before it arrives.
    ///
    /// # Errors
    ///
    /// Returns the limit that does not permit it.
    pub fn hold_body(&self, bytes: u64, now: Time) -> Result<HeldMemory, Limit> {
        self.account.ledger().hold_body(self.address, bytes, now)?;
        Ok(HeldMemory {
            account: self.account.clone(),
            address: self.address,
            bytes,
        })
    }

    /// Begins a response that is sent on while it arrives.
    pub fn begin_response(&self) -> ResponseMemory {
        self.account.ledger().begin_response();
        ResponseMemory {
            payer: self.clone(),
            held: AtomicU64::new(0),
        }
    }

    pub(crate) fn hold(&self, bytes: u64, now: Time) -> HeldPart {
        self.account.ledger().hold(self.address, bytes, now);
        HeldPart {
            payer: self.clone(),
            response: None,
            bytes,
        }
    }
}

/// The parts of a response that its reader has not taken yet.
///
/// All responses share a part of the account's memory: the more there are, the less room each has. One of which nothing is
/// held gets room in any case, so that it goes on.
#[derive(Debug)]
pub struct ResponseMemory {
    payer: Payer,
    /// Bytes that are held.
    held: AtomicU64,
}

impl ResponseMemory {
    /// Takes memory for the next part; `None` if there is room only after an earlier one was taken.
    pub fn try_hold(self: &Arc<Self>, bytes: u64, now: Time) -> Option<HeldPart> {
        let held = self.held.load(Ordering::Relaxed);
        let mut ledger = self.payer.account.ledger();
        if held == 0 {
            ledger.hold(self.payer.address, bytes, now);
        } else if !ledger.try_hold(self.payer.address, bytes, held) {
            return None;
        }
        self.held.fetch_add(bytes, Ordering::Relaxed);
        Some(HeldPart {
            payer: self.payer.clone(),
            response: Some(Arc::clone(self)),
            bytes,
        })
    }

    /// Returns how many bytes may be held of the response at the moment.
    pub fn window(&self) -> u64 {
        self.payer.account.ledger().response_window()
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.payer.account.ledger().end_response();
    }
}

/// Memory of a part of a response until the guard is dropped.
#[derive(Debug)]
pub struct HeldPart {
    payer: Payer,
    /// The response that it is a part of; `None` if it is all of it.
    response: Option<Arc<ResponseMemory>>,
    bytes: u64,
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        let mut ledger = self.payer.account.ledger();
        ledger.release_response(self.payer.address, self.bytes);
        if let Some(response) = &self.response {
            response.held.fetch_sub(self.bytes, Ordering::Relaxed);
        }
    }
}
