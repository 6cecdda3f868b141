//! Membership records that VMs exchange.

use std::net::SocketAddr;

use sw_unit::{DomainId, EndpointId, Incarnation, RegionId, Version, VmId};

/// A VM's row of the membership table, as the VM announces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// The incarnation of its process; a restart has a higher one.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address that other VMs connect to.
    pub peer_listen: SocketAddr,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The version of the configuration that it runs.
    pub version: Version,
    /// Its size.
    pub size: VmSize,
}

/// The size of a VM in thousandths of a processor core; 0 if it does not state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct VmSize(pub u32);

/// The changing part of a [`VmRow`], for receivers that know the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmBrief {
    /// The VM.
    pub vm: VmId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The version of the configuration that it runs.
    pub version: Version,
}

impl VmRow {
    /// Returns the part of the row that changes during an incarnation.
    pub fn brief(&self) -> VmBrief {
        VmBrief {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            version: self.version,
        }
    }
}

/// Who sent a row as it is now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowSource {
    /// The VM itself.
    Itself,
    /// A VM that sent all its rows to this VM when it started; neighbours know what was known then.
    Snapshot,
    /// A neighbour, which tells all other neighbours.
    Neighbour,
    /// A third party in another failure domain.
    Remote,
}

/// The state of a VM as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// A heartbeat was received recently.
    Live,
    /// No heartbeat was received recently; the VM gets no new work.
    Suspect,
    /// The VM is stopping.
    Leaving,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of its process; a restart has a higher one.
    pub incarnation: Incarnation,
}
