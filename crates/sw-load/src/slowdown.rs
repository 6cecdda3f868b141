//! How fast requests go at a target, compared with what was expected.

use sw_unit::{Millis, Time};

/// Weight of the newest request in averages.
const NEWEST: f64 = 0.1;
/// Exponent with which a ratio of taken to expected time enters the pace.
const PACE_GAIN: f64 = 0.05;
/// Bounds of one ratio.
const RATIO: (f64, f64) = (0.25, 4.0);
/// Bounds of the pace.
const PACE: (f64, f64) = (0.5, 16.0);
/// Time in which the pace goes half the way back to 1 if nothing is heard.
const PACE_HALF_LIFE: Millis = Millis(8_000);
/// Times shorter than this say nothing.
const MIN_EXPECTED: Millis = Millis(20);

/// What a request needs of an endpoint that runs nothing else, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Taking in the prompt.
    pub prefill_ms: f64,
    /// Making the answer.
    pub response_ms: f64,
}

/// What requests at a target need and how fast they go.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Slowdown {
    work: Option<Work>,
    pace: Option<(f64, Time)>,
}

impl Slowdown {
    /// Records that a request was sent.
    pub(crate) fn sent(&mut self, work: Work) {
        let average = |old: f64, new: f64| old + NEWEST * (new - old);
        self.work = Some(self.work.map_or(work, |old| Work {
            prefill_ms: average(old.prefill_ms, work.prefill_ms),
            response_ms: average(old.response_ms, work.response_ms),
        }));
    }

    /// Records how long a request took.
    pub(crate) fn took(&mut self, taken: Millis, expected: Millis, now: Time) {
        if expected < MIN_EXPECTED {
            return;
        }
        let ratio = (taken.0 as f64 / expected.0 as f64).clamp(RATIO.0, RATIO.1);
        let pace = self.pace(now) * ratio.powf(PACE_GAIN);
        self.pace = Some((pace.clamp(PACE.0, PACE.1), now));
    }

    /// The average work of requests.
    pub(crate) fn work(&self) -> Option<Work> {
        self.work
    }

    /// How much longer requests take than the model says.
    pub(crate) fn pace(&self, now: Time) -> f64 {
        let Some((pace, at)) = self.pace else {
            return 1.0;
        };
        let half_lives = now.since(at).0 as f64 / PACE_HALF_LIFE.0 as f64;
        1.0 + (pace - 1.0) * 0.5_f64.powf(half_lives)
    }
}
