//! Quotas of workspaces.

use metrics::{counter, gauge};
use spdlog::prelude::*;
use sw_relay::{AdmittedRequest, QuotaChange, QuotaCost};
use sw_unit::Millis;

use crate::state::ProxyState;

/// Logs that a request exceeds the quota of its workspace.
pub(crate) fn log_quota_exceeded(admitted: &AdmittedRequest, cost: &QuotaCost, wait: Millis) {
    let (id, workspace) = (&*admitted.id, cost.workspace.name.as_str());
    let (tokens, wait_ms) = (cost.tokens.0, wait.0);
    info!("quota_exceeded", kv: { id, workspace, tokens, wait_ms });
    counter!("shallotwing_quota_refused_requests_total").increment(1);
    counter!("shallotwing_quota_refused_tokens_total").increment(tokens);
}

/// Counts the tokens of a request that its quota admits.
pub(crate) fn count_quota_admitted(cost: &QuotaCost) {
    counter!("shallotwing_quota_admitted_tokens_total").increment(cost.tokens.0);
}

/// Logs what has changed in the quotas that this VM keeps.
pub(crate) fn log_quota_changes<D, F>(state: &ProxyState<D, F>) {
    let changes = state.relay.borrow_mut().take_quota_changes();
    for change in changes {
        log_quota_change(&change);
    }
}

fn log_quota_change(change: &QuotaChange) {
    match change {
        QuotaChange::KeeperStarted(workspace) => {
            let workspace = workspace.as_str();
            info!("quota_keeper_started", kv: { workspace });
        }
        QuotaChange::Limited(workspace) => {
            let workspace = workspace.as_str();
            info!("quota_limited", kv: { workspace });
        }
        QuotaChange::NotLimited(workspace) => {
            let workspace = workspace.as_str();
            info!("quota_not_limited", kv: { workspace });
        }
        QuotaChange::Loans {
            workspace,
            borrowed,
            lent,
        } => {
            let workspace = workspace.as_str();
            let (borrowed, lent) = (*borrowed, *lent);
            info!("quota_loans", kv: { workspace, borrowed, lent });
        }
    }
}

/// Records how many quotas this VM keeps, and how many it limits.
pub(crate) fn record_kept_quotas<D, F>(state: &ProxyState<D, F>) {
    let (kept, limited) = state.relay.borrow().kept_quotas(state.now());
    gauge!("shallotwing_kept_quotas").set(kept as f64);
    gauge!("shallotwing_limited_quotas").set(limited as f64);
}
