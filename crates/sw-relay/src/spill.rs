//! Requests that another VM sends to an endpoint.
//!
//! A request spills to another region if the local one is expected to be busy and the other one to be clearly faster. A VM
//! that has lost its paths to the endpoints of a service forwards requests to a VM of its region that has not.

use sw_member::{VmRow, size_weights, vm_at};
use sw_unit::{RegionId, Time};

use crate::choose::{LocalEstimate, Reach};
use crate::latency::FIRST_EVENT_MS;
use crate::{AdmittedRequest, AttemptHistory, Choice, Relay, ServiceId};

/// Share of the objective above which the expected time in the local region makes it count as busy.
const SPILL_SHARE: f64 = 0.6;
/// The same for a plain service, whose endpoints reject requests beyond a short queue.
const PLAIN_SPILL_SHARE: f64 = 0.3;
/// Advantage that another region must have, as a share of the objective.
const SPILL_MARGIN: f64 = 0.1;

/// Expected milliseconds that a request through a VM of the local region takes longer than a direct one.
const NEIGHBOUR_ROUND_TRIP_MS: f64 = 10.0;
/// Share of a service's endpoints that must be out of reach before requests that could go directly are forwarded.
const FORWARD_LOST_SHARE: f64 = 0.5;

/// Estimates for another region.
pub(crate) struct RemoteEstimate {
    region: RegionId,
    pub(crate) expected_ms: f64,
    pub(crate) overrun_ms: f64,
}

impl Relay {
    /// Returns the other region with the lowest sum of expected time and overrun.
    ///
    /// Only regions count that are permitted, that have not refused the request as too late, and that have a live
    /// VM that was not tried, usable endpoints and a recent report.
    pub(crate) fn best_remote(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        now: Time,
    ) -> Option<RemoteEstimate> {
        let regions = self.regions.keys();
        let expected = regions.filter_map(|region| self.remote_estimate(admitted, region, history, now));
        let cost = |remote: &RemoteEstimate| remote.expected_ms + remote.overrun_ms;
        expected.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the estimates for another region; `None` if the request may not be sent there.
    pub(crate) fn remote_estimate(
        &self,
        admitted: &AdmittedRequest,
        region: &RegionId,
        history: &AttemptHistory,
        now: Time,
    ) -> Option<RemoteEstimate> {
        let state = self.regions.get(region)?;
        let is_permitted = self.may_send_to(admitted, region, now) && self.may_run_in(admitted, region);
        if history.is_full(region) || !is_permitted {
            return None;
        }
        self.peers_with_path(region, &admitted.service, history, now).next()?;
        let wait_ms = state.wait_ms(&admitted.service, now)?;
        let first_event_ms = if admitted.prompt.is_some() { FIRST_EVENT_MS } else { 0.0 };
        let expected_ms = wait_ms + self.uncached_ms(admitted) + first_event_ms;
        let gap_ms = state.gap_ms(&admitted.service).unwrap_or_default();
        Some(RemoteEstimate {
            region: region.clone(),
            expected_ms,
            overrun_ms: self.overrun_ms(admitted, expected_ms, gap_ms, now),
        })
    }

    /// Returns the VM of this region to which a request is forwarded, with the estimates for the endpoints that this VM does not
    /// reach; `None` if the `direct` way is better, or there is no such VM.
    pub(crate) fn best_neighbour(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        direct: Option<&LocalEstimate>,
        now: Time,
    ) -> Option<(LocalEstimate, VmRow)> {
        if admitted.forwarded || !self.has_lost_paths() {
            return None;
        }
        if direct.is_some() && self.lost_share(&admitted.service) < FORWARD_LOST_SHARE {
            return None;
        }
        let mut estimate = self.best_local(admitted, history, Reach::Lost, now)?;
        estimate.expected_ms += NEIGHBOUR_ROUND_TRIP_MS;
        let margin_ms = admitted.route.objective.0 as f64 * SPILL_MARGIN;
        let cost = |estimate: &LocalEstimate| estimate.expected_ms + estimate.overrun_ms;
        if direct.is_some_and(|direct| cost(direct) <= cost(&estimate) + margin_ms) {
            return None;
        }
        let neighbour = self.neighbour_target(&admitted.service, history, now)?;
        Some((estimate, neighbour.clone()))
    }

    /// Returns the VM of this region that this VM forwards to: one of its failure domain if possible.
    ///
    /// It is the same one each time so that the connection is reused. The VMs without paths are spread over the others by the
    /// sizes of both.
    fn neighbour_target<'a>(
        &'a self,
        service: &'a ServiceId,
        history: &'a AttemptHistory,
        now: Time,
    ) -> Option<&'a VmRow> {
        let local = &self.options.local;
        let mut targets: Vec<_> = self.peers_with_path(&local.region, service, history, now).collect();
        if targets.iter().any(|row| row.domain == local.domain) {
            targets.retain(|row| row.domain == local.domain);
        }
        targets.sort_by(|a, b| a.vm.cmp(&b.vm));
        let peers = self.members.peers().filter(|row| row.region == local.region);
        let cut_off = peers.filter(|row| self.paths.is_peer_cut_off(&row.vm, service, now));
        self.own_target(&targets, cut_off)
    }

    /// Returns the target of this VM, if it and the other `senders` are spread over the targets by the sizes of both.
    fn own_target<'a>(&'a self, targets: &[&'a VmRow], senders: impl Iterator<Item = &'a VmRow>) -> Option<&'a VmRow> {
        let local = self.members.local();
        let senders: Vec<_> = senders.chain([local]).collect();
        let weights = size_weights(senders.iter().copied());
        let total = weights.iter().sum();
        let lower_ranked = senders.iter().zip(weights).filter(|(row, _)| row.vm < local.vm);
        let before = lower_ranked.map(|(_, weight)| weight).sum();
        vm_at(targets, before, total)
    }

    /// Returns the live VMs of a region that have paths to a service and to which the request was not sent before.
    fn peers_with_path<'a>(
        &'a self,
        region: &'a RegionId,
        service: &'a ServiceId,
        history: &'a AttemptHistory,
        now: Time,
    ) -> impl Iterator<Item = &'a VmRow> {
        let peers = self.live_peers_in(region, history, now);
        peers.filter(move |row| !self.paths.is_peer_cut_off(&row.vm, service, now))
    }

    /// Returns the milliseconds of an endpoint's time that a request takes; a plain one uses one of its slots.
    fn work_ms(&self, admitted: &AdmittedRequest) -> f64 {
        let uncached_ms = self.uncached_ms(admitted);
        if admitted.prompt.is_some() {
            return uncached_ms;
        }
        let slots = self
            .registry
            .usable(&admitted.service)
            .map(|endpoint| endpoint.entry.slots);
        uncached_ms / f64::from(slots.max().unwrap_or(1).max(1))
    }

    /// Returns the choice to forward a request to a VM of another region, and counts its work there; `None` if there is
    /// no live VM that was not tried.
    pub(crate) fn forward_choice(
        &mut self,
        admitted: &AdmittedRequest,
        remote: RemoteEstimate,
        local_ms: Option<f64>,
        history: &AttemptHistory,
        now: Time,
    ) -> Option<Choice> {
        let row = self.forward_target(&remote.region, &admitted.service, history, now)?;
        let (vm, address) = (row.vm.clone(), row.peer_listen);
        let work_ms = self.work_ms(admitted);
        if let Some(state) = self.regions.get_mut(&remote.region) {
            state.on_dispatch(&admitted.service, work_ms, now);
        }
        Some(Choice::Vm {
            region: remote.region,
            vm,
            address,
            expected_ms: remote.expected_ms,
            local_ms,
        })
    }

    /// Returns the VM of a region that this VM forwards to.
    ///
    /// It is the same one each time so that the connection is reused, because a new one costs another round trip
    /// between the regions. The VMs of this region are spread over those of the other one by the sizes of both.
    fn forward_target<'a>(
        &'a self,
        region: &'a RegionId,
        service: &'a ServiceId,
        history: &'a AttemptHistory,
        now: Time,
    ) -> Option<&'a VmRow> {
        let mut targets: Vec<_> = self.peers_with_path(region, service, history, now).collect();
        targets.sort_by(|a, b| a.vm.cmp(&b.vm));
        let local_region = &self.options.local.region;
        let senders = self.members.peers().filter(|row| row.region == *local_region);
        self.own_target(&targets, senders)
    }
}

/// Whether a request spills to another region.
pub(crate) fn should_spill(
    admitted: &AdmittedRequest,
    local: &LocalEstimate,
    remote: &RemoteEstimate,
    now: Time,
) -> bool {
    let objective = admitted.route.objective.0 as f64;
    let elapsed = now.since(admitted.received_at).0 as f64;
    let share = if admitted.prompt.is_some() {
        SPILL_SHARE
    } else {
        PLAIN_SPILL_SHARE
    };
    let is_busy = local.expected_ms + elapsed > objective * share || local.overrun_ms > 0.0;
    let (local_ms, remote_ms) = (
        local.expected_ms + local.overrun_ms,
        remote.expected_ms + remote.overrun_ms,
    );
    is_busy && remote_ms + objective * SPILL_MARGIN < local_ms
}
