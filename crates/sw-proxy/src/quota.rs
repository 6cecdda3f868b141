//! Quotas of workspaces: charges for requests, and calls to the VMs that keep the quotas.

use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_error::{Ran, Refusal};
use sw_relay::{AdmittedRequest, LoanRequest, QuotaAsk, QuotaCost, QuotaReply, QuotaStep, QuotaTake};
use sw_store::Feed;
use sw_unit::{Millis, Time, WorkspaceId};
use tokio::sync::oneshot;

use crate::peer_calls::{self, PeerCall};
use crate::state::ProxyState;
use crate::{Dialect, telemetry};

/// Timeout for a keeper's response; the request is then decided without it.
const TAKE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two updates of the quotas.
const UPDATE_PERIOD: Millis = Millis(250);

/// Tokens that were taken for a request; they are credited on drop unless the request may have run.
pub(crate) struct QuotaGuard<D: Dialect, F: 'static> {
    state: Rc<ProxyState<D, F>>,
    cost: QuotaCost,
    charged_at: Time,
    is_used: bool,
}

impl<D: Dialect, F> QuotaGuard<D, F> {
    /// Records that the request may run from now on.
    pub(crate) fn on_sending(&mut self) {
        self.is_used = true;
    }

    /// Records that the request ends with a refusal.
    pub(crate) fn on_refused(&mut self, refusal: Refusal) {
        self.is_used = refusal.kind.response().ran != Ran::No;
    }
}

impl<D: Dialect, F> Drop for QuotaGuard<D, F> {
    fn drop(&mut self) {
        if !self.is_used {
            let mut relay = self.state.relay.borrow_mut();
            relay.credit_quota(&self.cost, self.charged_at, self.state.now());
        }
    }
}

/// Takes the tokens of a request; returns `None` if it needs none.
///
/// # Errors
///
/// Refuses with [`Kind::QuotaExceeded`](sw_error::Kind::QuotaExceeded).
pub(crate) async fn take<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    admitted: &AdmittedRequest,
) -> Result<Option<QuotaGuard<D, F>>, Refusal> {
    let Some(cost) = admitted.quota_cost() else {
        return Ok(None);
    };
    let charged_at = state.now();
    let mut step = state.relay.borrow_mut().take_quota(&cost, charged_at);
    while let QuotaStep::Ask(call) = step {
        step = ask(state, &cost, call).await;
    }
    if let QuotaStep::Refuse(wait) = step {
        // This VM may be the keeper itself.
        telemetry::log_quota_changes(state);
        borrow(state, Some(&cost.workspace.name));
        telemetry::log_quota_exceeded(admitted, &cost, wait);
        return Err(state.relay.borrow_mut().quota_refusal(wait));
    }
    telemetry::count_quota_admitted(&cost);
    Ok(Some(QuotaGuard {
        state: Rc::clone(state),
        cost,
        charged_at,
        is_used: false,
    }))
}

/// Grants or refuses tokens to a VM of this region.
pub(crate) fn grant<D: Dialect, F: Feed>(state: &Rc<ProxyState<D, F>>, take: &QuotaTake) -> QuotaReply {
    let reply = state.relay.borrow_mut().grant_quota(take, state.now());
    if reply.granted < take.needed {
        telemetry::log_quota_changes(state);
        borrow(state, Some(&take.workspace));
    }
    if !reply.keeps {
        check_keeper(state, take);
    }
    reply
}

/// Finds out whether the keeper responds that another VM may not reach.
fn check_keeper<D: Dialect, F: Feed>(state: &Rc<ProxyState<D, F>>, asked: &QuotaTake) {
    let check = state
        .relay
        .borrow_mut()
        .start_keeper_check(&asked.workspace, state.now());
    let Some((keeper, take)) = check else {
        return;
    };
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        loop {
            let call = state.peers.take_quota(keeper.address, &take);
            let call = peer_calls::counted(PeerCall::TakeQuota, call);
            let timeout = tokio::time::sleep(TAKE_TIMEOUT);
            let response = tokio::time::timeout(TAKE_TIMEOUT, call).await;
            let has_responded = matches!(response, Ok(Ok(_)));
            if !has_responded {
                // A connection may be refused at once by a VM that restarts.
                timeout.await;
            }
            let mut relay = state.relay.borrow_mut();
            if !relay.on_keeper_checked(&keeper.vm, has_responded, state.now()) {
                return;
            }
        }
    });
}

/// Keeps the quotas up to date until the process ends.
pub(crate) async fn run<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>) {
    let mut ticks = state.timer.subscribe(UPDATE_PERIOD);
    loop {
        ticks.tick().await;
        let returns = state.relay.borrow_mut().update_quotas(state.now());
        for QuotaAsk { to, take, .. } in returns {
            let peers = state.peers.clone();
            tokio::task::spawn_local(async move {
                // If the call is lost, so are the tokens.
                let call = peers.take_quota(to.address, &take);
                let _lost = peer_calls::counted(PeerCall::TakeQuota, call).await;
            });
        }
        borrow(&state, None);
        telemetry::log_quota_changes(&state);
        telemetry::record_kept_quotas(&state);
    }
}

/// Makes a call for the tokens of a request.
async fn ask<D: Dialect, F: Feed>(state: &Rc<ProxyState<D, F>>, cost: &QuotaCost, call: QuotaAsk) -> QuotaStep {
    if call.delay > Millis(0) {
        tokio::time::sleep(Duration::from_millis(call.delay.0)).await;
    }
    let asked_at = state.now();
    let (tx, rx) = oneshot::channel();
    let (caller, address, take) = (Rc::clone(state), call.to.address, call.take.clone());
    tokio::task::spawn_local(async move {
        let response = caller.peers.take_quota(address, &take);
        let Ok(reply) = peer_calls::counted(PeerCall::TakeQuota, response).await else {
            return;
        };
        // The request was decided meanwhile, or its caller has gone.
        if let Err(late) = tx.send(reply) {
            let mut relay = caller.relay.borrow_mut();
            relay.on_late_quota_reply(&take.workspace, late, asked_at, caller.now());
        }
    });
    let reply = tokio::time::timeout(TAKE_TIMEOUT, rx).await;
    let reply = reply.ok().and_then(Result::ok);
    if reply.is_none() {
        let (vm, workspace) = (call.to.vm.as_str(), cost.workspace.name.as_str());
        info!("quota_keeper_silent", kv: { vm, workspace });
    }
    let mut relay = state.relay.borrow_mut();
    relay.on_quota_reply(cost, call, reply, asked_at, state.now())
}

/// Asks other regions for the loans that are due, of all workspaces or of `only` one.
fn borrow<D: Dialect, F: Feed>(state: &Rc<ProxyState<D, F>>, only: Option<&WorkspaceId>) {
    let due = state.relay.borrow_mut().due_quota_loans(only, state.now());
    for request in due {
        tokio::task::spawn_local(ask_for_loans(Rc::clone(state), request));
    }
}

async fn ask_for_loans<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>, request: LoanRequest) {
    let asked_at = state.now();
    let call = state.peers.lend_quota(&request);
    if let Ok(reply) = peer_calls::counted(PeerCall::LendQuota, call).await {
        let mut relay = state.relay.borrow_mut();
        relay.on_quota_loans(&request, &reply, asked_at, state.now());
    }
}
