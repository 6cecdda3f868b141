//! Log lines and metrics.
//!
//! Each decision about a request and each change of this VM's view of the system is logged in one line with its inputs.
//! Lines never contain request content.

use sw_relay::{AdmittedRequest, SoftwareVersion};
use sw_unit::Millis;

use crate::state::ProxyState;

mod attempt;
mod configuration;
mod limit;
mod path;
mod quarantine;
mod queue;
mod quota;
mod request;
mod routing;
mod stream;

pub(crate) use attempt::{log_attempt_broken, log_attempt_end, log_backoff, log_endpoint_leaving, log_rejection};
pub(crate) use configuration::{log_newer_version, log_version_lag};
pub(crate) use limit::{log_rate_limit_changes, log_rate_limited, log_rejection_limit_changes, log_without_room};
pub(crate) use path::{log_health_check, log_path_changes};
pub(crate) use quarantine::{log_crash_check, log_quarantine_changes, log_quarantined};
pub(crate) use queue::{
    log_contention_changes, log_declined, log_declined_for_pauses, log_isolation_changes, log_refused_after_declines,
    log_served_after_others,
};
pub(crate) use quota::{count_quota_admitted, log_quota_changes, log_quota_exceeded, record_kept_quotas};
pub(crate) use request::{count_key_refusal, log_abort, log_refusal, record_response};
pub(crate) use routing::{log_choice, log_forward_failure, log_forward_refused, log_plan_changes};
pub(crate) use stream::{
    log_begun_elsewhere, log_longest_pause, log_not_resumed, log_resume, log_resume_end, log_resume_request,
    log_source_silent, log_stream_waits, log_unplaced,
};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Returns the version of the configuration in force; 0 if there is none.
fn version_in_force<D, F>(state: &ProxyState<D, F>) -> u64 {
    state.relay.borrow().table().map_or(0, |table| table.version.0)
}

/// Formats the regions that a request may enter now for the log.
fn region_list<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> String {
    state.relay.borrow().permitted_regions(admitted).to_string()
}

/// Returns the name of a software version for the log; empty if it is not known.
fn software_name(software: Option<&SoftwareVersion>) -> &str {
    software.map_or("", SoftwareVersion::as_str)
}

/// Returns the name of a request's workspace for the log; empty if it has none.
fn workspace_name(admitted: &AdmittedRequest) -> &str {
    let workspace = admitted.workspace.as_ref();
    workspace.map_or("", |workspace| workspace.name.as_str())
}

/// Formats a time for the log; -1 if there is none.
fn optional_ms(time: Option<Millis>) -> i64 {
    time.map_or(-1, |time| i64::try_from(time.0).unwrap_or(i64::MAX))
}
