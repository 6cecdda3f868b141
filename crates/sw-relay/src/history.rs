//! The next step of a request and the history of its attempts.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use sw_error::{Kind, Refusal, Retry};
use sw_unit::{EndpointId, Millis, RegionId, VmId};

use crate::{AttemptOutcome, Coordinator, DeclineReason, EndpointEntry};

/// Where a request is sent next.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To an endpoint of the local region.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointEntry,
        /// Expected milliseconds until the first event or the response.
        expected_ms: f64,
        /// Number of endpoints that were compared.
        considered: usize,
        /// The coordinator to ask for a slot first; `None` if the request is sent without asking.
        coordinator: Option<Box<Coordinator>>,
    },
    /// To another VM, which selects an endpoint: of another region, or of this one if this VM has no paths.
    Vm {
        /// The region of the VM.
        region: RegionId,
        /// The VM.
        vm: VmId,
        /// The address at which the VM accepts calls from peers.
        address: SocketAddr,
        /// Expected milliseconds until the first event or the response.
        expected_ms: f64,
        /// Expected milliseconds in the local region, if it has usable endpoints.
        local_ms: Option<f64>,
    },
}

impl Choice {
    /// Returns the id of the endpoint or the VM.
    pub fn target(&self) -> &str {
        match self {
            Self::Endpoint { endpoint, .. } => endpoint.id.as_str(),
            Self::Vm { vm, .. } => vm.as_str(),
        }
    }

    /// Returns the other region to which the body is sent; `None` if the request stays in this region.
    pub fn remote_region(&self) -> Option<&RegionId> {
        match self {
            Self::Endpoint { .. } => None,
            Self::Vm { region, .. } => Some(region),
        }
    }
}

/// The earlier attempts of one request.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Endpoints that were attempted, and whether the request may have run there.
    endpoints: IndexMap<EndpointId, bool>,
    /// Peers that the request was forwarded to, and the number of endpoints on which it may have run through them.
    vms: IndexMap<VmId, u32>,
    /// Regions that cannot start the request in time.
    full_regions: IndexSet<RegionId>,
    /// Endpoints whose coordinator declined, with the wait in milliseconds that it reported.
    declined: IndexMap<EndpointId, f64>,
    /// Endpoints whose rate limit did not admit the request.
    rate_limited: IndexSet<EndpointId>,
    declines: u32,
    /// How many of the declines kept a slot for others.
    share_declines: u32,
    /// Shortest time after which a coordinator that declined expects room.
    min_retry: Option<Millis>,
    sends: u32,
    last: Option<AttemptOutcome>,
    refusal: Option<Refusal>,
}

impl AttemptHistory {
    /// Records an attempt at an endpoint and its outcome; `None` if the endpoint responded.
    pub fn record_endpoint(&mut self, endpoint: &EndpointId, outcome: Option<AttemptOutcome>) {
        let ran = self.record(outcome);
        *self.endpoints.entry(endpoint.clone()).or_default() |= ran;
    }

    /// Records that the request was forwarded to another VM, which may run it on up to `attempts` endpoints, and the
    /// outcome; `None` if the VM responded.
    pub fn record_vm(&mut self, vm: &VmId, attempts: u32, outcome: Option<AttemptOutcome>) {
        let ran = self.record(outcome);
        *self.vms.entry(vm.clone()).or_default() += if ran { attempts.max(1) } else { 0 };
    }

    /// Records that a VM of `region` refused the request.
    pub fn record_vm_refusal(&mut self, vm: &VmId, region: &RegionId, refusal: Refusal) {
        self.record_vm(vm, 1, Some(AttemptOutcome::from_refusal(refusal)));
        // A refusal that concerns routes or regions is not passed to the caller, because the peer may have an older
        // configuration.
        if refusal.kind.response().retry == Retry::Later {
            self.refusal = Some(refusal);
        }
        if refusal.kind == Kind::DeadlineUnreachable {
            self.full_regions.insert(region.clone());
        }
    }

    /// Records that the coordinator of an endpoint declined and expects the first event or the response after
    /// `expected_ms`.
    pub fn record_declined(&mut self, endpoint: &EndpointId, expected_ms: f64) {
        self.declines += 1;
        self.last = Some(AttemptOutcome::Declined);
        self.declined.insert(endpoint.clone(), expected_ms);
    }

    /// Records why the coordinator of the last decline declined, and after which time it expects room, if it stated one.
    pub fn record_decline_reason(&mut self, reason: DeclineReason, retry: Option<Millis>) {
        self.share_declines += u32::from(reason == DeclineReason::Share);
        self.min_retry = self.min_retry.into_iter().chain(retry).min();
    }

    /// Returns how often a coordinator kept a slot for others.
    pub fn share_declines(&self) -> u32 {
        self.share_declines
    }

    /// Returns the shortest time after which a coordinator that declined expects room, if one stated it.
    pub(crate) fn min_retry(&self) -> Option<Millis> {
        self.min_retry
    }

    /// Records that the rate limit of an endpoint admits the request only after the time `wait`.
    pub fn record_rate_limited(&mut self, endpoint: &EndpointId, wait: Millis) {
        self.last = Some(AttemptOutcome::Declined);
        self.declined.insert(endpoint.clone(), wait.0 as f64);
        self.rate_limited.insert(endpoint.clone());
    }

    /// Returns whether the rate limit of an endpoint did not admit the request.
    pub fn is_rate_limited(&self, endpoint: &EndpointId) -> bool {
        self.rate_limited.contains(endpoint)
    }

    /// Returns whether nothing was tried yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.sends == 0 && self.declined.is_empty()
    }

    /// Returns how often coordinators declined the request.
    pub fn declines(&self) -> u32 {
        self.declines
    }

    /// Returns the wait in milliseconds that the coordinator of `endpoint` reported when it declined.
    pub fn declined_wait_ms(&self, endpoint: &EndpointId) -> Option<f64> {
        self.declined.get(endpoint).copied()
    }

    /// Returns the shortest wait in milliseconds that a coordinator reported when it declined.
    pub fn min_declined_wait_ms(&self) -> Option<f64> {
        self.declined.values().copied().min_by(f64::total_cmp)
    }

    /// Whether a VM of `region` reported that the request cannot start there in time.
    pub fn is_full(&self, region: &RegionId) -> bool {
        self.full_regions.contains(region)
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs() > 0
    }

    /// Returns the number of endpoints on which the request may have run.
    pub fn possible_runs(&self) -> u32 {
        let local = self.endpoints.values().filter(|ran| **ran).count();
        u32::try_from(local).unwrap_or(u32::MAX) + self.vms.values().sum::<u32>()
    }

    /// Returns the number of attempts at endpoints and of forwards to other VMs, including those that sent nothing.
    /// Declined reservations are not counted.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the outcome of the last attempt or declined reservation; `None` if the target responded or there was
    /// none.
    pub fn last_outcome(&self) -> Option<AttemptOutcome> {
        self.last
    }

    /// Whether the request was attempted at `endpoint`.
    pub fn has_endpoint(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Whether the request was forwarded to `vm`.
    pub fn has_vm(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm)
    }

    /// Returns the refusal for a request that is not sent again; `reason` is why it is not, if known.
    pub fn final_refusal(&self, reason: Option<Refusal>) -> Refusal {
        if self.may_have_run() {
            let timed_out = self.last == Some(AttemptOutcome::Timeout);
            return Refusal::new(if timed_out {
                Kind::EndpointTimeout
            } else {
                Kind::OutcomeUnknown
            });
        }
        self.refusal.or(reason).unwrap_or_else(|| match self.last {
            Some(AttemptOutcome::Rejected) => Kind::Overloaded.into(),
            _ => Kind::EndpointUnreachable.into(),
        })
    }

    /// Counts an attempt, and returns whether the request may have run.
    fn record(&mut self, outcome: Option<AttemptOutcome>) -> bool {
        self.sends += 1;
        self.last = outcome;
        !outcome.is_some_and(AttemptOutcome::not_run)
    }
}
