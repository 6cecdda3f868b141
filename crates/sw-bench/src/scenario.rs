//! Scenarios and policies.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString};
use sw_unit::Millis;

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// All domains at 60% of their capacity.
    Steady,
    /// All domains at their capacity.
    Capacity,
    /// The own domain at 130%, the others at 30%.
    OffsetPeaks,
    /// The own domain has a tenth of its slots, and its callers are as many as before.
    Tenth,
    /// The own domain's engines are away for a third of the run and return cold.
    Lost,
    /// Load reports are 3 s old, and every other one is missing.
    StaleReports,
    /// Offset peaks while other traffic fills 95% of the links.
    NarrowLinks,
    /// All domains at 200%.
    Overload2,
    /// All domains at 500%.
    Overload5,
    /// Half of the requests share one beginning.
    Stampede,
    /// One own engine is four times slower than configured.
    SlowEndpoint,
}

/// A routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The daemon's.
    Weighted,
    /// Each target in turn.
    RoundRobin,
    /// The least loaded target.
    LeastLoad,
    /// The least loaded endpoint of the own domain.
    LocalOnly,
}

impl Scenario {
    /// Load of the own callers, as a share of a domain's capacity.
    pub fn local_load(self) -> f64 {
        match self {
            Self::Capacity => 1.0,
            Self::OffsetPeaks | Self::NarrowLinks => 1.3,
            Self::Overload2 => 2.0,
            Self::Overload5 => 5.0,
            _ => 0.6,
        }
    }

    /// Load of each other domain's callers.
    pub fn remote_load(self) -> f64 {
        match self {
            Self::Capacity => 1.0,
            Self::OffsetPeaks | Self::NarrowLinks => 0.3,
            Self::Overload2 => 2.0,
            Self::Overload5 => 5.0,
            _ => 0.6,
        }
    }

    /// Share of the own engines' slots that there are.
    pub(crate) fn slot_share(self) -> f64 {
        if self == Self::Tenth { 0.1 } else { 1.0 }
    }

    /// Age of a report when it is received.
    pub(crate) fn report_age(self) -> Millis {
        if self == Self::StaleReports {
            Millis(3_000)
        } else {
            Millis(200)
        }
    }

    /// Share of a link that other traffic fills.
    pub(crate) fn link_use(self) -> f64 {
        if self == Self::NarrowLinks { 0.95 } else { 0.0 }
    }

    /// Whether the own engines are away at a time, given the run's length.
    pub(crate) fn is_away(self, now: u64, length: u64) -> bool {
        self == Self::Lost && (length / 3..length * 2 / 3).contains(&now)
    }
}
