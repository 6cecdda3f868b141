//! Options of the decision core.

use indexmap::IndexMap;
use sw_member::VmRow;
use sw_unit::{DomainId, Millis, RegionId, Time};

/// Options of [`Relay`](crate::Relay).
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch of the settings"
)]
pub struct Options {
    /// The membership row of this VM.
    pub local: VmRow,
    /// Options of membership.
    pub members: sw_member::Options,
    /// The region of each failure domain.
    pub domain_regions: IndexMap<DomainId, RegionId>,
    /// Ratio of retries to requests of a service, for all VMs together.
    pub retry_ratio: f64,
    /// Additional retries that all VMs together may make in a window.
    pub retry_slack: f64,
    /// Time after which a removed key must be of no use at any VM; `None` if there is no such bound.
    pub strict_revocation: Option<Millis>,
    /// Whether shares of the requests are planned for other regions.
    pub plans_regions: bool,
    /// Whether prompts are placed so that running streams have no long pauses.
    pub limits_pauses: bool,
    /// Whether contended capacity is divided into fair shares.
    pub shares_capacity: bool,
    /// Whether endpoints with an idle connection are preferred, and connections are kept within this VM's share.
    pub reuses_connections: bool,
    /// When the process started.
    pub started_at: Time,
    /// Seed of random choices.
    pub seed: u64,
}
