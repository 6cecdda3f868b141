//! Pacing of requests to a cold endpoint.
//!
//! The VMs that may send to a cold endpoint share its rate without asking each other. The time until it is warm, which
//! all of them know, is cut into slots of one request each, and the slots go to the VMs in turn.

use sw_unit::{Millis, Rate};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Share of the rate that is used, because the VMs know the endpoint's end of the cold time only roughly.
const RATE_SHARE: f64 = 0.8;

/// The part of a cold endpoint's rate that belongs to this VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartShare {
    /// Requests a second that the endpoint bears from all VMs.
    pub rate: Rate,
    /// VMs that may send to it, this one included.
    pub senders: usize,
    /// The place of this VM among them.
    pub rank: usize,
}

/// Spaces the requests that this VM sends to one cold endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowStart {
    used: Option<u64>,
}

impl SlowStart {
    /// Whether a request may be sent to an endpoint that is cold for `cold_for` more.
    pub fn allows(&self, share: SlowStartShare, cold_for: Millis) -> bool {
        slot(share, cold_for).is_some_and(|slot| is_own(share, slot) && self.used != Some(slot))
    }

    /// Records a request.
    pub fn on_dispatch(&mut self, share: SlowStartShare, cold_for: Millis) {
        self.used = slot(share, cold_for);
    }
}

/// The slot that the time `cold_for` before the end of the cold time lies in; `None` if the endpoint bears nothing.
fn slot(share: SlowStartShare, cold_for: Millis) -> Option<u64> {
    let rate = share.rate.0 * RATE_SHARE;
    let length = Millis((MILLIS_PER_SECOND / rate.max(f64::MIN_POSITIVE)).min(f64::from(u32::MAX)) as u64);
    (rate > 0.0).then(|| cold_for.0 / length.0.max(1))
}

fn is_own(share: SlowStartShare, slot: u64) -> bool {
    slot % share.senders.max(1) as u64 == share.rank as u64
}
