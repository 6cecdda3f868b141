//! Scenarios, and names of policies.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString};
use sw_unit::Millis;

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// All domains are loaded at 60% of their capacity.
    Steady,
    /// All domains are loaded at their capacity.
    Capacity,
    /// The local domain is loaded at 130% of its capacity, the remote ones at 30%.
    OffsetPeaks,
    /// The local domain has a tenth of its slots, and as many requests as in `Steady`.
    Tenth,
    /// The local engines are unreachable for the middle third of the run, and restart with empty caches.
    Lost,
    /// Load reports are 3 s old, and every second one is missing.
    StaleReports,
    /// `OffsetPeaks` while other traffic uses 95% of the links.
    NarrowLinks,
    /// All domains are loaded at 200% of their capacity.
    Overload2,
    /// All domains are loaded at 500% of their capacity.
    Overload5,
    /// Half of the requests of each class have the same prompt prefix.
    Stampede,
    /// One local engine decodes four times slower than configured.
    SlowEndpoint,
}

/// A routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The policy of the daemon.
    Weighted,
    /// Each target in turn.
    RoundRobin,
    /// The least loaded target.
    LeastLoad,
    /// The least loaded endpoint of the local domain.
    LocalOnly,
}

impl Scenario {
    /// Returns the load by callers of the local domain, as a multiple of the domain's capacity.
    pub fn local_load(self) -> f64 {
        match self {
            Self::Capacity => 1.0,
            Self::OffsetPeaks | Self::NarrowLinks => 1.3,
            Self::Overload2 => 2.0,
            Self::Overload5 => 5.0,
            _ => 0.6,
        }
    }

    /// Returns the load by callers of each remote domain, as a multiple of that domain's capacity.
    pub fn remote_load(self) -> f64 {
        match self {
            Self::Capacity => 1.0,
            Self::OffsetPeaks | Self::NarrowLinks => 0.3,
            Self::Overload2 => 2.0,
            Self::Overload5 => 5.0,
            _ => 0.6,
        }
    }

    /// Returns the share of the local engines' slots that is available.
    pub(crate) fn slot_share(self) -> f64 {
        if self == Self::Tenth { 0.1 } else { 1.0 }
    }

    /// Returns the age of a load report when it is received.
    pub(crate) fn report_age(self) -> Millis {
        if self == Self::StaleReports {
            Millis(3_000)
        } else {
            Millis(200)
        }
    }

    /// Returns the share of a link that other traffic uses.
    pub(crate) fn link_utilization(self) -> f64 {
        if self == Self::NarrowLinks { 0.95 } else { 0.0 }
    }

    /// Returns whether the local engines are unreachable at `now`, in a run of `length` milliseconds.
    pub(crate) fn is_outage(self, now: u64, length: u64) -> bool {
        self == Self::Lost && (length / 3..length * 2 / 3).contains(&now)
    }
}
