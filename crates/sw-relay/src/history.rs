//! Where a request may go.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use sw_error::{Kind, Refusal, Retry};
use sw_unit::{EndpointId, RegionId, VmId};

use crate::{AttemptOutcome, Coordinator, EndpointEntry};

/// Where a request goes next.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To an endpoint of the own region.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointEntry,
        /// Milliseconds until its first event or answer.
        expected_ms: f64,
        /// Endpoints that were weighed.
        considered: usize,
        /// The VM to ask first; `None` if there is none to ask.
        coordinator: Option<Coordinator>,
    },
    /// To a VM of another region, which sends it to an endpoint there.
    Vm {
        /// The VM's region.
        region: RegionId,
        /// The VM.
        vm: VmId,
        /// Where it takes calls of other VMs.
        address: SocketAddr,
        /// Milliseconds until the first event or answer.
        expected_ms: f64,
        /// Milliseconds that were expected in the own region, if it has usable endpoints.
        local_ms: Option<f64>,
    },
}

impl Choice {
    /// The endpoint or the VM.
    pub fn target(&self) -> &str {
        match self {
            Self::Endpoint { endpoint, .. } => endpoint.id.as_str(),
            Self::Vm { vm, .. } => vm.as_str(),
        }
    }
}

/// What one request tried before.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Endpoints, with whether the request may have run there.
    endpoints: IndexMap<EndpointId, bool>,
    /// Other VMs, with the number of endpoints on which the request may have run there.
    vms: IndexMap<VmId, u32>,
    /// Regions that cannot begin it in time.
    full: IndexSet<RegionId>,
    /// Engines whose coordinator declined, with the milliseconds that it expected.
    declined: IndexMap<EndpointId, f64>,
    declines: u32,
    sends: u32,
    last: Option<AttemptOutcome>,
    refusal: Option<Refusal>,
}

impl AttemptHistory {
    /// Records that an endpoint got the request, and how that ended; `None` if it answered.
    pub fn record_endpoint(&mut self, endpoint: &EndpointId, outcome: Option<AttemptOutcome>) {
        let ran = self.record(outcome);
        *self.endpoints.entry(endpoint.clone()).or_default() |= ran;
    }

    /// Records that another VM got the request, which it might run on `attempts` endpoints, and how that ended; `None`
    /// if it answered.
    pub fn record_vm(&mut self, vm: &VmId, attempts: u32, outcome: Option<AttemptOutcome>) {
        let ran = self.record(outcome);
        *self.vms.entry(vm.clone()).or_default() += if ran { attempts.max(1) } else { 0 };
    }

    /// Records that a VM of `region` refused the request.
    pub fn record_vm_refusal(&mut self, vm: &VmId, region: &RegionId, refusal: Refusal) {
        self.record_vm(vm, 1, Some(AttemptOutcome::from_refusal(refusal)));
        // What the other VM says of routes and regions is no answer for the caller: its configuration may be older.
        if refusal.kind.answer().retry == Retry::Later {
            self.refusal = Some(refusal);
        }
        if refusal.kind == Kind::DeadlineUnreachable {
            self.full.insert(region.clone());
        }
    }

    /// Records that the coordinator of an engine declined, because it expects the first event after `expected_ms`.
    pub fn record_declined(&mut self, endpoint: &EndpointId, expected_ms: f64) {
        self.declines += 1;
        self.last = Some(AttemptOutcome::Declined);
        self.declined.insert(endpoint.clone(), expected_ms);
    }

    /// How often the request was declined.
    pub fn declines(&self) -> u32 {
        self.declines
    }

    /// What the coordinator of an engine expected when it declined; `None` if it did not.
    pub fn declined_wait_ms(&self, endpoint: &EndpointId) -> Option<f64> {
        self.declined.get(endpoint).copied()
    }

    /// The shortest wait that a coordinator expected when it declined.
    pub fn min_declined_wait_ms(&self) -> Option<f64> {
        self.declined.values().copied().min_by(f64::total_cmp)
    }

    /// Whether a VM of `region` said that the request cannot begin there in time.
    pub fn is_full(&self, region: &RegionId) -> bool {
        self.full.contains(region)
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs() > 0
    }

    /// Endpoints on which the request may have run.
    pub fn possible_runs(&self) -> u32 {
        let here = self.endpoints.values().filter(|ran| **ran).count();
        u32::try_from(here).unwrap_or(u32::MAX) + self.vms.values().sum::<u32>()
    }

    /// How often the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// How the last send ended; `None` if it was answered or there was none.
    pub fn last_outcome(&self) -> Option<AttemptOutcome> {
        self.last
    }

    /// Whether an endpoint got the request before.
    pub fn has_endpoint(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Whether another VM got the request before.
    pub fn has_vm(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm)
    }

    /// The final answer for a request that is given up, with the reason for which it is not sent once more.
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

    /// Counts a send, and returns whether the request may have run.
    fn record(&mut self, outcome: Option<AttemptOutcome>) -> bool {
        self.sends += 1;
        self.last = outcome;
        !outcome.is_some_and(AttemptOutcome::not_run)
    }
}
