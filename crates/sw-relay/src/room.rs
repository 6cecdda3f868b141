//! Room at an endpoint that is brittle, as its coordinator knows it.
//!
//! The endpoint runs as many requests as it has slots; how many more it lets wait is not known. So no more requests than
//! slots are sent to it at a time. Each rejection for want of room shows that there is less room than that, and lowers the
//! bound; the bound rises again slowly, and more slowly after each rejection.

use std::collections::VecDeque;

use sw_unit::{Incarnation, Millis, Rate, Time};

/// Length of the spans in which an endpoint counts rejections, with a margin for the time that the news of one takes.
const SPAN: Millis = Millis(1_200);
/// Share of the rejection limit that is used.
const USED_SHARE: f64 = 0.5;
/// Time in which a lowered bound first rises by one request; each rejection doubles it.
const FIRST_RISE: Millis = Millis(1_000);
/// The same at an endpoint that bears no rejection.
const FIRST_RISE_UNBEARABLE: Millis = Millis(8_000);
/// Longest time in which it rises by one request.
const MAX_RISE: Millis = Millis(30_000);
/// Slots of an endpoint that bears no rejection from which one is left free.
const SPARE_FROM: u32 = 4;
/// Longest time after which a VM is asked to try again.
const MAX_WAIT: Millis = Millis(500);

/// What a coordinator knows of the room at one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    incarnation: Incarnation,
    /// The bound after the last rejection; `None` before the first one.
    lowered_to: Option<u32>,
    lowered_at: Time,
    rise: Millis,
    rejections: VecDeque<Time>,
    /// When the last VM that was declined should try again.
    last_return: Time,
}

impl Room {
    /// Returns what is known of an incarnation that has rejected nothing.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            lowered_to: None,
            lowered_at: Time(0),
            rise: Millis(0),
            rejections: VecDeque::new(),
            last_return: Time(0),
        }
    }

    /// Returns whether this is the room of an incarnation.
    pub(crate) fn is_of(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation
    }

    /// Returns how many requests may be at an endpoint with `slots` that bears `limit` rejections a second.
    fn bound(&self, slots: u32, limit: Rate, now: Time) -> u32 {
        let spare = u32::from(limit.0 < 1.0 && slots >= SPARE_FROM);
        let most = slots.saturating_sub(spare).max(1);
        let Some(lowered_to) = self.lowered_to else {
            return most;
        };
        let risen = now.since(self.lowered_at).0 / self.rise.0.max(1);
        most.min(lowered_to.saturating_add(u32::try_from(risen).unwrap_or(u32::MAX)))
    }

    /// Returns whether an endpoint with `slots`, of which this coordinator may use `usable`, has room for one more request
    /// than `present`.
    ///
    /// While the rejections of the last second come near the limit, there must be room for certain.
    pub(crate) fn has_room(&self, slots: u32, usable: u32, present: u32, limit: Rate, now: Time) -> bool {
        let bound = self.bound(slots, limit, now).min(usable);
        let recent = self.rejections.iter().filter(|at| now.since(**at) < SPAN).count();
        let is_budget_spent = recent > 0 && (recent + 1) as f64 > limit.0 * USED_SHARE;
        if is_budget_spent {
            present < bound / 2
        } else {
            present < bound
        }
    }

    /// Records a rejection for want of room by an endpoint with `present` requests, among them the rejected one.
    pub(crate) fn on_rejected(&mut self, slots: u32, present: u32, limit: Rate, now: Time) {
        let bound = self.bound(slots, limit, now).min(present.saturating_sub(1)).max(1);
        let first_rise = if limit.0 < 1.0 {
            FIRST_RISE_UNBEARABLE
        } else {
            FIRST_RISE
        };
        // Rejections of one moment have one cause.
        let is_later = self.rejections.back().is_none_or(|last| now.since(*last) >= SPAN);
        if is_later {
            self.rise = Millis(self.rise.0 * 2).clamp(first_rise, MAX_RISE);
        }
        self.lowered_to = Some(bound);
        self.lowered_at = now;
        self.rejections.retain(|at| now.since(*at) < SPAN);
        self.rejections.push_back(now);
    }

    /// Returns when a VM that was declined should try again, if a slot is free each `interval`: the VMs return one after
    /// another.
    pub(crate) fn return_after(&mut self, interval: Millis, now: Time) -> Millis {
        let return_at = (self.last_return.max(now) + interval).min(now + MAX_WAIT);
        self.last_return = return_at;
        return_at.since(now)
    }
}
