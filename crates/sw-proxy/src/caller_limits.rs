//! Ends callers that make no progress, and reports which limits have acted.

use std::rc::Rc;

use metrics::gauge;
use spdlog::prelude::*;
use sw_unit::Millis;

use crate::state::ProxyState;

/// Period in milliseconds; a limit is logged at most once in it.
const PERIOD: Millis = Millis(500);

/// Checks the callers until the process ends.
pub(crate) async fn run<D, F>(state: Rc<ProxyState<D, F>>) {
    let mut ticks = state.timer.subscribe(PERIOD);
    loop {
        let now = ticks.tick().await;
        let limits = state.relay.borrow().table().map(|table| table.limits);
        let header_timeout = limits.unwrap_or_default().header_timeout;
        let body_idle = state.options().body_idle;
        state.callers.end_overdue(header_timeout, body_idle, now);
        gauge!("shallotwing_caller_bytes").set(state.callers.held() as f64);
        gauge!("shallotwing_caller_connections").set(state.callers.connections() as f64);
        for report in state.callers.take_reports() {
            let (limit, count, address) = (report.limit.into(), report.count, report.address.to_string());
            let (limit, address): (&str, &str) = (limit, address.as_str());
            warn!("caller_limit", kv: { limit, count, address });
        }
    }
}
