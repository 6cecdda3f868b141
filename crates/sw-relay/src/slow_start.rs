//! Slow start of cold endpoints.
//!
//! The VMs that may send to a cold endpoint share its rate without communication. The remaining cold time, which all of
//! them know, is divided into time slots of one request each, which are assigned to the VMs in turn.

use sw_unit::{Millis, Rate, Time};

use crate::relay::JOIN_TIME;
use crate::{EndpointEntry, Relay};

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

impl Relay {
    /// Returns this VM's share of an endpoint's rate during its slow start, and the time until it is warm; `None` if it
    /// is warm.
    pub(crate) fn cold_share(&self, endpoint: &EndpointEntry, now: Time) -> Option<(SlowStartShare, Millis)> {
        let known = self.registry.get(&endpoint.id)?;
        let cold_for = self.cold_remaining(known, now);
        if cold_for == Millis(0) {
            return None;
        }
        let share = SlowStartShare {
            rate: self
                .service(&endpoint.service)
                .map_or(Rate(0.0), |service| service.cold_rate),
            senders: self.senders(),
            rank: self.sender_rank(),
        };
        Some((share, cold_for))
    }

    /// Returns whether the endpoint is warm, or its slow start admits a request of this VM now.
    ///
    /// A VM that has just started does not know yet how many others send there, and sends nothing to cold endpoints.
    pub(crate) fn slow_start_allows(&self, endpoint: &EndpointEntry, now: Time) -> bool {
        let Some((share, cold_for)) = self.cold_share(endpoint, now) else {
            return true;
        };
        let slow_start = self
            .loads
            .get(&endpoint.id)
            .map(|load| load.slow_start)
            .unwrap_or_default();
        now.since(self.options.started_at) >= JOIN_TIME && slow_start.allows(share, cold_for)
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
