//! Pacing of requests to a cold endpoint.

use sw_unit::{Millis, Rate, Time};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Spaces the requests that this VM sends to one cold endpoint.
///
/// The VMs that may send to it share its rate without asking each other: each takes an equal part of the rate and
/// never saves up more than one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    next: Option<Time>,
}

impl Pace {
    /// Whether a request may be sent now.
    pub fn allows(&self, now: Time) -> bool {
        self.next.is_none_or(|next| next <= now)
    }

    /// Records a request, sent by one of `senders` VMs that share `rate`.
    pub fn sent(&mut self, rate: Rate, senders: usize, now: Time) {
        let share = rate.0 / senders.max(1) as f64;
        let pause = if share > 0.0 {
            Millis((MILLIS_PER_SECOND / share).ceil() as u64)
        } else {
            Millis(u64::MAX)
        };
        self.next = Some(now + pause);
    }
}
