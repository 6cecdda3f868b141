//! Versions of the configuration.

use metrics::histogram;
use spdlog::prelude::*;
use sw_unit::{Millis, Version};

use super::{MILLIS_PER_SECOND, version_in_force};
use crate::state::ProxyState;

/// Logs that another VM runs a newer version, so that this VM forwards nothing to other regions until it has it.
///
/// `vm` is empty if the other VM is not known.
pub(crate) fn log_newer_version<D, F>(state: &ProxyState<D, F>, vm: &str, version: Version) {
    let (version, in_force) = (version.0, version_in_force(state));
    info!("newer_version_heard", kv: { vm, version, in_force });
}

/// Logs for how long another VM had been known to run a newer version when `version` came into force.
pub(crate) fn log_version_lag(version: Version, behind_for: Millis) {
    let (version, behind_ms) = (version.0, behind_for.0);
    info!("version_lag", kv: { version, behind_ms });
    histogram!("shallotwing_version_lag_seconds").record(behind_ms as f64 / MILLIS_PER_SECOND);
}
