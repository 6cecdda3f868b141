//! Slow start of cold endpoints.
//!
//! The VMs that may send to a cold endpoint share its rate without communication. The remaining cold time, which all of
//! them know, is divided into time slots of one request each, which are assigned to the VMs in turn.

use sw_unit::{Millis, Rate};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Share of the rate that is used. The VMs know the end of the cold time only approximately.
const RATE_SHARE: f64 = 0.8;

/// This VM's share of the rate of a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartShare {
    /// Requests per second that the endpoint can handle from all VMs.
    pub rate: Rate,
    /// Number of VMs that may send to it, including this one.
    pub senders: usize,
    /// Rank of this VM among them.
    pub rank: usize,
}

/// Limits the requests that this VM sends to one cold endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowStart {
    last_slot: Option<u64>,
}

impl SlowStart {
    /// Whether a request may be sent to an endpoint that remains cold for `cold_for`.
    pub fn allows(&self, share: SlowStartShare, cold_for: Millis) -> bool {
        slot(share, cold_for).is_some_and(|slot| is_assigned(share, slot) && self.last_slot != Some(slot))
    }

    /// Records a dispatched request.
    pub fn on_dispatch(&mut self, share: SlowStartShare, cold_for: Millis) {
        self.last_slot = slot(share, cold_for);
    }
}

/// Returns the time slot at `cold_for` before the end of the cold time; `None` if the rate is zero.
fn slot(share: SlowStartShare, cold_for: Millis) -> Option<u64> {
    let rate = share.rate.0 * RATE_SHARE;
    let length = Millis((MILLIS_PER_SECOND / rate.max(f64::MIN_POSITIVE)).min(f64::from(u32::MAX)) as u64);
    (rate > 0.0).then(|| cold_for.0 / length.0.max(1))
}

fn is_assigned(share: SlowStartShare, slot: u64) -> bool {
    slot % share.senders.max(1) as u64 == share.rank as u64
}
