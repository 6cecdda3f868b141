//! The byte budget of links between regions.

use indexmap::IndexMap;
use sw_unit::{Bytes, Millis, RegionId, Time};

/// Share of a link that requests may fill; the rest is left to answers and to other traffic.
const USABLE_SHARE: f64 = 0.5;
const BYTES_PER_MS_OF_MBPS: f64 = 125.0;

/// Bytes that this VM has put on each link and that are not through yet.
///
/// A link is shared by all VMs of a region, so each assumes its share of the bandwidth. The backlog becomes a delay
/// in the estimates, and so requests of little worth stop using a link before worthier ones do.
#[derive(Debug, Clone, Default)]
pub struct LinkQueues {
    clear_at: IndexMap<RegionId, f64>,
}

impl LinkQueues {
    /// The time until `len` bytes that are sent now to `region` are through, at `mbps` shared by `vms` VMs.
    pub fn delay(&self, region: &RegionId, len: Bytes, mbps: f64, vms: usize, now: Time) -> Millis {
        let backlog = self.clear_at.get(region).map_or(0.0, |at| (at - now.0 as f64).max(0.0));
        Millis((backlog + transfer_ms(len, mbps, vms)).ceil() as u64)
    }

    /// Records that `len` bytes are sent to `region`.
    pub fn on_dispatch(&mut self, region: &RegionId, len: Bytes, mbps: f64, vms: usize, now: Time) {
        let clear_at = self.clear_at.entry(region.clone()).or_default();
        *clear_at = clear_at.max(now.0 as f64) + transfer_ms(len, mbps, vms);
    }
}

fn transfer_ms(len: Bytes, mbps: f64, vms: usize) -> f64 {
    let bytes_per_ms = mbps * BYTES_PER_MS_OF_MBPS * USABLE_SHARE / vms.max(1) as f64;
    len.0 as f64 / bytes_per_ms.max(1.0)
}
