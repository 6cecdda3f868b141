//! Where a request may go.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use sw_unit::{EndpointId, RegionId, VmId};

use crate::EndpointEntry;

/// Where a request goes next.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To an endpoint of the own region.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointEntry,
        /// Milliseconds until its first event or answer.
        expected_ms: f64,
        /// Endpoints that were weighed.
        considered: usize,
    },
    /// To a VM of another region.
    Region {
        /// The region.
        region: RegionId,
        /// The VM.
        vm: VmId,
        /// Where it takes calls of other VMs.
        address: SocketAddr,
        /// Milliseconds until the first event or answer.
        expected_ms: f64,
        /// Milliseconds that were expected in the own region, if it has usable endpoints.
        local_ms: Option<f64>,
    },
}

/// What one request tried before.
#[derive(Debug, Clone, Default)]
pub struct Tried {
    /// Endpoints, with whether the request may have run there.
    pub endpoints: IndexMap<EndpointId, bool>,
    /// VMs of other regions that did not hand it over.
    pub vms: IndexSet<VmId>,
    /// Sends beyond the first.
    pub retries: u32,
    /// Whether it may have run at all.
    pub may_have_run: bool,
}

impl Tried {
    /// Endpoints on which the request may have run.
    pub fn runs(&self) -> u32 {
        let runs = self.endpoints.values().filter(|ran| **ran).count();
        u32::try_from(runs).unwrap_or(u32::MAX)
    }
}
