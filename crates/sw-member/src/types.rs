//! Rows that VMs exchange.

use std::net::SocketAddr;

use sw_unit::{DomainId, EndpointId, Incarnation, RegionId, Version, VmId};

/// What a VM says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// Its life; a restart has a higher number.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other VMs connect.
    pub peer_listen: SocketAddr,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The configuration that it runs.
    pub version: Version,
}

/// What a VM says about itself to one that knows the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmBrief {
    /// The VM.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The configuration that it runs.
    pub version: Version,
}

impl VmRow {
    /// What is left to say to a VM that knows the rest.
    pub fn brief(&self) -> VmBrief {
        VmBrief {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            version: self.version,
        }
    }
}

/// How a VM is seen from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// Heard lately.
    Live,
    /// Not heard lately; no new work goes there.
    Suspect,
    /// Stopping.
    Leaving,
}

/// One life of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its life; a restart has a higher number.
    pub incarnation: Incarnation,
}
