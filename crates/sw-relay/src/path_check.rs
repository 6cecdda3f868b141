//! When the path to a silent endpoint is checked.
//!
//! Silence alone says little: an engine is silent for as long as it reads a prompt. What other endpoints of the service send
//! shows that this VM is not cut off; a path is checked then only if the response is overdue. A VM that is cut off hears of
//! no endpoint of the service, and checks at once. Checks that find the path open are limited, so that an overloaded fleet
//! does not spend its time on them.

use sw_unit::{Millis, Time};

use crate::{EndpointEntry, Relay, ServiceId};

/// Time after a sign of an endpoint during which its path is not checked.
const HEARD_RECENTLY: Millis = Millis(300);
/// The same if its response is overdue and others of its service are heard of.
const OVERDUE_HEARD_RECENTLY: Millis = Millis(1_000);
/// Time without a sign of any endpoint of a service after which this VM may be cut off from the service.
const SERVICE_SILENCE: Millis = Millis(400);
/// Checks per second that may find the path open.
const CHECK_RATE: f64 = 2.0;
/// Largest number of such checks at once.
const MAX_CHECKS: f64 = 4.0;
/// Number of checks that are left to connections that are not made and to services that are silent.
const RESERVED_CHECKS: f64 = 2.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What is missing from an endpoint that is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// A connection.
    Connection,
    /// A response that is not overdue.
    Response,
    /// A response that takes longer than expected.
    OverdueResponse,
}

/// Number of checks that may still be made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CheckAllowance {
    checks: f64,
    updated_at: Time,
}

impl Default for CheckAllowance {
    fn default() -> Self {
        Self {
            checks: MAX_CHECKS,
            updated_at: Time(0),
        }
    }
}

impl CheckAllowance {
    /// Takes a check unless only `reserved` ones are left.
    fn take(&mut self, reserved: f64, now: Time) -> bool {
        let added = now.since(self.updated_at).0 as f64 * CHECK_RATE / MILLIS_PER_SECOND;
        self.checks = (self.checks + added).min(MAX_CHECKS);
        self.updated_at = self.updated_at.max(now);
        let may_take = self.checks >= reserved + 1.0;
        if may_take {
            self.checks -= 1.0;
        }
        may_take
    }

    /// Gives a check back that found the path lost.
    pub(crate) fn give_back(&mut self) {
        self.checks = (self.checks + 1.0).min(MAX_CHECKS);
    }
}

impl Relay {
    /// Returns whether the path to a silent endpoint is to be checked now. The check counts against this VM's limit unless
    /// it finds the path lost.
    pub fn begin_path_check(&mut self, endpoint: &EndpointEntry, silence: Silence, now: Time) -> bool {
        if !self.has_path(&endpoint.id) || self.has_heard(&endpoint.id, HEARD_RECENTLY, now) {
            return false;
        }
        let is_urgent = silence == Silence::Connection || !self.has_heard_of_service(&endpoint.service, now);
        if is_urgent {
            return self.paths.checks.take(0.0, now);
        }
        silence == Silence::OverdueResponse
            && !self.has_heard(&endpoint.id, OVERDUE_HEARD_RECENTLY, now)
            && self.paths.checks.take(RESERVED_CHECKS, now)
    }

    /// Returns whether any endpoint of a service gave a sign just now, so that this VM is not cut off from the service.
    fn has_heard_of_service(&self, service: &ServiceId, now: Time) -> bool {
        let mut local = self.local_endpoints(service);
        local.any(|known| self.has_heard(&known.entry.id, SERVICE_SILENCE, now))
    }
}
