//! Proxy options.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_limit::LimitOptions;
use sw_member::VmSize;
use sw_unit::{DomainId, Fingerprint, Millis, PartId, RegionId, VmId};

/// Options of a [`Proxy`](crate::Proxy).
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch of the settings"
)]
pub struct Options {
    /// This VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Region of this VM.
    pub region: RegionId,
    /// Region of each failure domain.
    pub regions: IndexMap<DomainId, RegionId>,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address of the readiness probe.
    pub ready_listen: SocketAddr,
    /// Listen address of the directory, which tells callers which VMs to use.
    pub directory_listen: SocketAddr,
    /// Listen address for other VMs.
    pub peer_listen: SocketAddr,
    /// Address that is advertised to other VMs, if it differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Listen address of the metrics; `None` disables them.
    pub metrics_listen: Option<SocketAddr>,
    /// Peer addresses of the VMs to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Time to live of a directory response.
    pub entry_ttl: Millis,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Millis,
    /// Retries that all VMs together may make, as a share of a service's requests.
    pub retry_ratio: f64,
    /// Number of retries that all VMs together may make on top of `retry_ratio`.
    pub retry_slack: f64,
    /// Prompt parts that are never quarantined.
    pub exempt_parts: Vec<PartId>,
    /// Requests that are never quarantined.
    pub exempt_requests: Vec<Fingerprint>,
    /// Whether shares of the requests are planned for other regions.
    pub plans_regions: bool,
    /// Whether prompts are placed so that running streams have no long pauses.
    pub limits_pauses: bool,
    /// Whether contended capacity is divided into fair shares.
    pub shares_capacity: bool,
    /// Whether endpoints with an idle connection are preferred, and connections are kept within this VM's share.
    pub reuses_connections: bool,
    /// Limits on what callers can make this VM hold.
    pub callers: LimitOptions,
    /// Time without a byte after which an unfinished request body is refused.
    pub body_idle: Millis,
    /// Size of this VM for choices by size.
    pub size: VmSize,
    /// Time after which a removed key must not be of use anywhere; `None` if there is no such bound.
    pub strict_revocation: Option<Millis>,
    /// Share by which quotas may be exceeded.
    pub quota_overshoot: f64,
}

impl Options {
    /// Returns the address at which other VMs reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}
