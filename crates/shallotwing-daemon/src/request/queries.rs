//! Calls of callers other than requests to run: entry VMs, new tickets, and the status of a ticket.

use std::collections::HashMap;

use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use sw_error::{Kind, Refusal};
use sw_gate::TicketOwner;
use sw_http::{EntryRow, ResponseBody, error_response, json_response};
use sw_once::{Ticket, TicketStatus};
use sw_unit::WorkspaceId;

use super::head::bearer_key;
use crate::process::Gateway;

/// Path prefix of the status of a request, followed by its ticket.
pub(crate) const REQUESTS_PREFIX: &str = "/v1/requests/";
/// Maximum number of tickets per call.
const MAX_TICKETS: u32 = 100;

/// Responds with the entry VMs to use for a route, best first.
pub(crate) async fn entries(gateway: &Gateway, req: &Request<Incoming>) -> Response<ResponseBody> {
    let route = query(req).remove("route").unwrap_or_default();
    let workspace = match authenticate(gateway, req).await {
        Ok(workspace) => workspace,
        Err(refusal) => return error_response(refusal, "", &[]),
    };
    let rows = entry_rows(gateway, route, workspace.to_string()).await;
    json_response(
        200,
        &json!({ "entries": rows, "ttl_ms": gateway.settings.limits.entry_ttl.0 }),
    )
}

/// Returns the entry VMs that a refusal refers the caller to; empty if a retry elsewhere would not help.
pub(crate) async fn entries_for_refusal(gateway: &Gateway, refusal: Refusal, route: &str) -> Vec<EntryRow> {
    if refusal.kind.response().retry != sw_error::Retry::Elsewhere {
        return Vec::new();
    }
    entry_rows(gateway, route.to_owned(), route.to_owned()).await
}

/// Issues tickets.
pub(crate) async fn tickets(gateway: &Gateway, req: &Request<Incoming>) -> Response<ResponseBody> {
    let count = query(req).remove("n").map_or(Ok(1), |n| n.parse::<u32>());
    let Some(count) = count.ok().filter(|count| (1..=MAX_TICKETS).contains(count)) else {
        return error_response(Kind::BadRequest.into(), "", &[]);
    };
    if let Err(refusal) = authenticate(gateway, req).await {
        return error_response(refusal, "", &[]);
    }
    match gateway.gate.run(move |gate, now| gate.issue_tickets(count, now)).await {
        Ok(tickets) => {
            let tickets: Vec<_> = tickets.iter().map(Ticket::to_string).collect();
            json_response(
                200,
                &json!({ "tickets": tickets, "ttl_ms": gateway.settings.limits.retention.0 }),
            )
        }
        Err(refusal) => error_response(refusal, "", &[]),
    }
}

/// Responds with the status of a ticket.
pub(crate) async fn ticket_status(gateway: &Gateway, req: &Request<Incoming>) -> Response<ResponseBody> {
    let id = req.uri().path().strip_prefix(REQUESTS_PREFIX).unwrap_or_default();
    let Ok(ticket) = id.parse::<Ticket>() else {
        return error_response(Kind::TicketInvalid.into(), id, &[]);
    };
    let workspace = match authenticate(gateway, req).await {
        Ok(workspace) => workspace,
        Err(refusal) => return error_response(refusal, id, &[]),
    };
    let status = look_up_status(gateway, workspace, ticket).await;
    json_response(200, &json!({ "id": id, "standing": status.to_string() }))
}

/// Returns the status of a ticket, from this VM or the VM that owns it.
async fn look_up_status(gateway: &Gateway, workspace: WorkspaceId, ticket: Ticket) -> TicketStatus {
    let (owner, queried) = (workspace.clone(), ticket.clone());
    let step = move |gate: &mut sw_gate::Gate, _| match gate.ticket_owner(&queried) {
        TicketOwner::Local => Ok(gate.ticket_status(&owner, &queried)),
        TicketOwner::Peer(row) => Err(row.peer_listen),
        TicketOwner::Gone => Ok(TicketStatus::OwnerGone),
    };
    match gateway.gate.run(step).await {
        Ok(Ok(status)) => status,
        Ok(Err(address)) => {
            let known = gateway.peers.ticket_status(address, workspace, ticket).await;
            known.ok().flatten().unwrap_or(TicketStatus::Unknown)
        }
        Err(_stopping) => TicketStatus::Unknown,
    }
}

async fn authenticate(gateway: &Gateway, req: &Request<Incoming>) -> Result<WorkspaceId, Refusal> {
    let key = bearer_key(req);
    gateway
        .gate
        .run(move |gate, _| gate.authenticate(key.as_deref()))
        .await?
}

async fn entry_rows(gateway: &Gateway, route: String, key: String) -> Vec<EntryRow> {
    let step = move |gate: &mut sw_gate::Gate, now| {
        let rows = gate.entry_vms(&route, &key, now);
        let row = |row: &sw_member::VmRow| EntryRow {
            vm: row.vm.to_string(),
            region: row.region.to_string(),
            address: row.listen.to_string(),
        };
        rows.into_iter().map(row).collect()
    };
    gateway.gate.run(step).await.unwrap_or_default()
}

fn query(req: &Request<Incoming>) -> HashMap<String, String> {
    let pairs = req
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}
