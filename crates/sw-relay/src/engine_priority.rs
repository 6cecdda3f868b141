//! The priority that an engine is told.
//!
//! An engine starts more urgent requests first, and preempts others for them when its memory runs out. It is told a
//! priority only where requests of different priority share it. What a workspace or a route sends beyond its fair share
//! comes after all that is within its share, so that none can preempt all others.

use std::fmt;

use sw_unit::{Millis, Time};

use crate::{AdmittedRequest, Relay, ServiceId};

/// The most urgent priority that an engine is told for a request within its fair share.
const FIRST: u32 = 1;
/// The least urgent one.
const LAST: u32 = 6;
/// Distance between two ranks, which leaves room for requests with little time left.
const STEP: u32 = 2;
/// Priority beyond the fair share.
const BEYOND: u8 = 8;
/// Priority of a request whose first event is late already, if it is within its fair share.
const LATE: u8 = 7;
/// Share of the objective that is left below which a request is told as more urgent.
const LITTLE_TIME_SHARE: f64 = 0.5;

/// Priority of a request at an engine: 0 to 9, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EnginePriority(u8);

impl fmt::Display for EnginePriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl EnginePriority {
    /// Returns the number that the engine is told.
    pub fn get(self) -> u8 {
        self.0
    }

    /// Returns the priority of a request that is within its fair share, with `left` until its first event is late.
    fn within(rank: u32, left: Millis, objective: Millis) -> Self {
        if left == Millis(0) {
            return Self(LATE);
        }
        let base = rank.saturating_mul(STEP).saturating_add(FIRST).min(LAST);
        let has_little_time = (left.0 as f64) < objective.0 as f64 * LITTLE_TIME_SHARE;
        let priority = base - u32::from(has_little_time);
        Self(u8::try_from(priority).unwrap_or(LATE))
    }
}

impl Relay {
    /// Returns the priority that an engine is told for a request; `None` if requests of one priority share it, or if it is
    /// not an engine.
    pub fn engine_priority(&self, admitted: &AdmittedRequest, now: Time) -> Option<EnginePriority> {
        if !self.options.shares_capacity || !self.ranks_requests(&admitted.service) {
            return None;
        }
        // A stream that another endpoint started is worth completing.
        if admitted.resumed {
            return Some(EnginePriority::within(admitted.priority, Millis(1), Millis(1)));
        }
        let share = self.own_shares.get(&admitted.service);
        if share.is_some_and(|share| share.is_beyond(&admitted.class(false, now))) {
            return Some(EnginePriority(BEYOND));
        }
        let objective = admitted.route.objective;
        let left = (admitted.received_at + objective).since(now);
        Some(EnginePriority::within(admitted.priority, left, objective))
    }

    /// Returns whether a service has engines that workspaces, or routes of different priority, share.
    fn ranks_requests(&self, service: &ServiceId) -> bool {
        self.cache_capacity(service).is_some() && self.table.as_ref().is_some_and(|table| table.is_shared(service))
    }
}
