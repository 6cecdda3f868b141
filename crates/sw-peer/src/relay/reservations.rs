//! Conversion of reservations, and of their replies and updates.

use sw_relay::{
    Distance, Grant, PrefillPlan, Prompt, PromptPart, QueueEstimate, RequestClass, Reservation, ReservationUpdate,
};
use sw_unit::{Millis, PartId, Tokens};

use super::convert::{Result, millis};
use super::limits::{optional_rate_limit, set_rate_limit};
use crate::convert::{len, parse};
use crate::relay_capnp as wire;

pub(super) fn set_reservation(mut to: wire::reservation::Builder<'_>, reservation: &Reservation) {
    let prompt = &reservation.prompt;
    to.set_endpoint(reservation.endpoint.as_str());
    to.set_service(reservation.service.as_str());
    to.set_input(prompt.input.0);
    to.set_output(prompt.expected_output().0);
    to.set_limit_ms(reservation.limit_ms as u32);
    to.set_urgent(reservation.urgent);
    to.set_source(
        reservation
            .cache_source_distance
            .map_or(0, |distance| distance as u8 + 1),
    );
    to.set_gap_ms(reservation.gap_objective.map_or(0, millis));
    to.set_avoids_pauses(reservation.avoids_pauses);
    if let Some(limit) = reservation.rate_limit {
        set_rate_limit(to.reborrow().init_rate_limit(), limit);
    }
    if let Some(limit) = reservation.rejection_limit {
        set_rate_limit(to.reborrow().init_rejection_limit(), limit);
    }
    set_class(to.reborrow(), &reservation.class);
    let mut parts = to.init_parts(len(&prompt.parts));
    for (i, part) in (0..).zip(&prompt.parts) {
        let mut to = parts.reborrow().get(i);
        to.set_id(part.id.0);
        to.set_length(part.len.0);
    }
}

pub(super) fn reservation(from: wire::reservation::Reader<'_>) -> Result<Reservation> {
    let parts = from.get_parts()?.iter().map(|part| PromptPart {
        id: PartId(part.get_id()),
        len: Tokens(part.get_length()),
    });
    Ok(Reservation {
        endpoint: parse(from.get_endpoint())?,
        service: parse(from.get_service())?,
        prompt: Prompt {
            input: Tokens(from.get_input()),
            output_max: Tokens(from.get_output()),
            output_hint: None,
            parts: parts.collect(),
        },
        limit_ms: f64::from(from.get_limit_ms()),
        urgent: from.get_urgent(),
        cache_source_distance: from.get_source().checked_sub(1).and_then(Distance::from_repr),
        gap_objective: Some(Millis(u64::from(from.get_gap_ms()))).filter(|gap| *gap > Millis(0)),
        avoids_pauses: from.get_avoids_pauses(),
        rate_limit: optional_rate_limit(from.has_rate_limit(), from.get_rate_limit())?,
        rejection_limit: optional_rate_limit(from.has_rejection_limit(), from.get_rejection_limit())?,
        class: class(from)?,
    })
}

fn set_class(mut to: wire::reservation::Builder<'_>, class: &RequestClass) {
    to.set_priority(class.priority.saturating_add(1));
    to.set_route(&*class.route);
    if let Some(workspace) = &class.workspace {
        to.set_workspace(workspace.as_str());
    }
    // A request without time left is late after a millisecond.
    to.set_objective_ms(class.objective.map_or(0, |objective| millis(objective).max(1)));
}

fn class(from: wire::reservation::Reader<'_>) -> Result<RequestClass> {
    let workspace = from.get_workspace()?.to_str()?;
    let objective = from.get_objective_ms();
    Ok(RequestClass {
        priority: from.get_priority().saturating_sub(1),
        workspace: if workspace.is_empty() {
            None
        } else {
            Some(parse(from.get_workspace())?)
        },
        route: from.get_route()?.to_str()?.into(),
        objective: (objective > 0).then_some(Millis(u64::from(objective))),
    })
}

pub(super) fn reserve_outcome(
    from: wire::relay_peer::reserve_results::Reader<'_>,
) -> Result<std::result::Result<Grant, QueueEstimate>> {
    let estimate = queue_estimate(from.get_wait()?)?;
    if !from.get_granted() {
        return Ok(Err(estimate));
    }
    Ok(Ok(Grant {
        entry_id: from.get_ticket(),
        plan: PrefillPlan {
            prefill: Tokens(from.get_unread()),
            transfer: Tokens(from.get_copied()),
            distance: from.get_source().checked_sub(1).and_then(Distance::from_repr),
        },
        estimate,
    }))
}

pub(super) fn set_reserve_outcome(
    mut to: wire::relay_peer::reserve_results::Builder<'_>,
    outcome: std::result::Result<Grant, QueueEstimate>,
) {
    let estimate = match outcome {
        Ok(grant) => {
            to.set_granted(true);
            to.set_ticket(grant.entry_id);
            to.set_unread(grant.plan.prefill.0);
            to.set_copied(grant.plan.transfer.0);
            to.set_source(grant.plan.distance.map_or(0, |distance| distance as u8 + 1));
            grant.estimate
        }
        Err(estimate) => estimate,
    };
    set_queue_estimate(to.init_wait(), estimate);
}

pub(super) fn reservation_update(from: wire::relay_peer::release_params::Reader<'_>) -> ReservationUpdate {
    if from.get_absent() {
        ReservationUpdate::EndpointUnreachable
    } else if from.get_runs() {
        ReservationUpdate::Running
    } else if from.get_rejected() {
        ReservationUpdate::Rejected
    } else if from.get_given_up() {
        ReservationUpdate::GivenUp
    } else {
        ReservationUpdate::Ended
    }
}

fn set_queue_estimate(mut to: wire::wait::Builder<'_>, estimate: QueueEstimate) {
    to.set_expected_ms(estimate.expected_ms as u32);
    to.set_backlog_ms(estimate.backlog_ms as u32);
    to.set_retry_ms(estimate.retry.map_or(0, |retry| millis(retry).max(1)));
    to.set_token_wait_ms(estimate.token_wait.map_or(0, |wait| millis(wait).saturating_add(1)));
    if let Some(limit) = estimate.rate_limit {
        set_rate_limit(to.reborrow().init_rate_limit(), limit);
    }
    if let Some(limit) = estimate.rejection_limit {
        set_rate_limit(to.init_rejection_limit(), limit);
    }
}

fn queue_estimate(from: wire::wait::Reader<'_>) -> Result<QueueEstimate> {
    let token_wait = from.get_token_wait_ms().checked_sub(1);
    Ok(QueueEstimate {
        expected_ms: f64::from(from.get_expected_ms()),
        backlog_ms: f64::from(from.get_backlog_ms()),
        rate_limit: optional_rate_limit(from.has_rate_limit(), from.get_rate_limit())?,
        rejection_limit: optional_rate_limit(from.has_rejection_limit(), from.get_rejection_limit())?,
        token_wait: token_wait.map(|wait| Millis(u64::from(wait))),
        retry: (from.get_retry_ms() > 0).then_some(Millis(u64::from(from.get_retry_ms()))),
        late_streams: 0.0,
    })
}
