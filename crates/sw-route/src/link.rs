//! Queues of bytes on the network links between regions.

use indexmap::IndexMap;
use sw_unit::{Bytes, Millis, RegionId, Time};

/// Fraction of a link's bandwidth that requests may use; the rest is for responses and other traffic.
const USABLE_FRACTION: f64 = 0.5;
const BYTES_PER_MS_OF_MBPS: f64 = 125.0;

/// The bytes that this VM has sent over each link and that have not been transmitted yet.
///
/// All VMs of a region share a link, so each assumes an equal share of its bandwidth. The backlog adds to the estimated
/// delay of a request, so requests of low worth stop using a link before those of high worth.
#[derive(Debug, Clone, Default)]
pub struct LinkQueues {
    empty_at: IndexMap<RegionId, f64>,
}

impl LinkQueues {
    /// Returns the time to transmit `len` bytes to `region` if they are sent now, at `mbps` shared by `vms` VMs.
    pub fn delay(&self, region: &RegionId, len: Bytes, mbps: f64, vms: usize, now: Time) -> Millis {
        let backlog = self.empty_at.get(region).map_or(0.0, |at| (at - now.0 as f64).max(0.0));
        Millis((backlog + transfer_ms(len, mbps, vms)).ceil() as u64)
    }

    /// Records that `len` bytes are sent to `region`, at `mbps` shared by `vms` VMs.
    pub fn on_dispatch(&mut self, region: &RegionId, len: Bytes, mbps: f64, vms: usize, now: Time) {
        let empty_at = self.empty_at.entry(region.clone()).or_default();
        *empty_at = empty_at.max(now.0 as f64) + transfer_ms(len, mbps, vms);
    }
}

fn transfer_ms(len: Bytes, mbps: f64, vms: usize) -> f64 {
    let bytes_per_ms = mbps * BYTES_PER_MS_OF_MBPS * USABLE_FRACTION / vms.max(1) as f64;
    len.0 as f64 / bytes_per_ms.max(1.0)
}
