//! Options of a proxy.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_unit::{Bytes, DomainId, Millis, RegionId, VmId};

/// Options of a [`Proxy`](crate::Proxy).
#[derive(Debug, Clone)]
pub struct Options {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The region of each failure domain.
    pub regions: IndexMap<DomainId, RegionId>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform asks whether this VM is ready.
    pub ready_listen: SocketAddr,
    /// Where callers ask which VMs to use.
    pub directory_listen: SocketAddr,
    /// Where other VMs connect.
    pub peer_listen: SocketAddr,
    /// Where metrics are served, if they are.
    pub metrics_listen: Option<SocketAddr>,
    /// Peer addresses of VMs to ask first.
    pub seeds: Vec<SocketAddr>,
    /// How long callers may use an answer of the directory.
    pub entry_ttl: Millis,
    /// Time from the order to stop until the process is ended.
    pub stop_grace: Millis,
    /// Share of a service's requests that all VMs together may send once more.
    pub retry_ratio: f64,
    /// Further retries that all VMs together may make.
    pub retry_slack: f64,
    /// Memory for bodies that are being read or sent.
    pub body_memory: Bytes,
}
