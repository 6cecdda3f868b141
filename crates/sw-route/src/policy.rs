//! Policies that pick a candidate.

use sw_unit::Millis;

use crate::{Candidate, Reason, RouteQuery, Target};

/// A remote candidate has to be better than the best local one by this factor.
const REMOTE_GAIN: f64 = 0.97;
/// Candidates whose score is within this factor of the best are near it.
const NEAR_BEST: f64 = 1.02;
/// Difference of scores, in seconds of latency of a request of worth 1, below which candidates are near each other.
const NEAR_SECONDS: f64 = 0.02;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// An estimate of the time to the end may be exceeded by this factor.
const MARGIN: f64 = 2.0;
/// A second after the deadline counts as this many seconds of latency.
const LATE_FACTOR: f64 = 10.0;
/// Weight of the time to the first token against that of the time to the end.
const FIRST_TOKEN_SHARE: f64 = 0.5;

/// Picks one of several candidates.
pub trait Policy {
    /// Whether requests that are not worth the wait that they cause are refused.
    const SHEDS: bool;

    /// The index of the chosen candidate and why; `None` if there is none.
    fn choose(
        &mut self,
        ask: &RouteQuery<'_>,
        candidates: &[Candidate],
        rng: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)>;
}

/// Picks by expected latency, weighted by worth, and cost, with two random choices among those near the best.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weighted;

impl Weighted {
    /// The score of a candidate; lower is better.
    pub fn score(ask: &RouteQuery<'_>, candidate: &Candidate) -> f64 {
        let objective = &ask.fleet.objective;
        let first = seconds(candidate.first_token);
        let end = seconds(candidate.completion);
        let latency = FIRST_TOKEN_SHARE * first + (1.0 - FIRST_TOKEN_SHARE) * end;
        let late = (seconds(candidate.completion) * MARGIN - seconds(ask.remaining)).max(0.0);
        let remote = if candidate.remote { objective.remote.0 } else { 0.0 };
        let worth = ask.route.worth.0;
        objective.latency.0 * worth * (latency + LATE_FACTOR * late) + objective.cost.0 * candidate.price + remote
    }
}

impl Policy for Weighted {
    const SHEDS: bool = true;

    fn choose(
        &mut self,
        ask: &RouteQuery<'_>,
        candidates: &[Candidate],
        rng: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)> {
        if candidates.len() < 2 {
            return candidates.first().map(|_| (0, Reason::Only));
        }
        let score = |candidate: &Candidate| {
            let gain = if candidate.remote { REMOTE_GAIN } else { 1.0 };
            Self::score(ask, candidate) / gain
        };
        let best = candidates.iter().map(score).fold(f64::INFINITY, f64::min);
        let limit = best * NEAR_BEST + NEAR_SECONDS * ask.fleet.objective.latency.0 * ask.route.worth.0;
        let near = || {
            candidates
                .iter()
                .enumerate()
                .filter(|(_, candidate)| score(candidate) <= limit)
        };
        let count = near().count();
        if count == 1 {
            return near().next().map(|(index, _)| (index, Reason::Best));
        }
        let first = rng.usize(..count);
        let second = (first + 1 + rng.usize(..count - 1)) % count;
        let (a, b) = (near().nth(first)?, near().nth(second)?);
        let chosen = if a.1.load_per_slot <= b.1.load_per_slot { a } else { b };
        Some((chosen.0, Reason::LessLoaded))
    }
}

/// Takes each candidate in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    const SHEDS: bool = false;

    fn choose(
        &mut self,
        _: &RouteQuery<'_>,
        candidates: &[Candidate],
        _: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)> {
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some((self.next % candidates.len(), Reason::Turn))
    }
}

/// Picks the candidate with the lowest load per slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoad;

impl Policy for LeastLoad {
    const SHEDS: bool = false;

    fn choose(
        &mut self,
        _: &RouteQuery<'_>,
        candidates: &[Candidate],
        _: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)> {
        least_load(candidates, |_| true)
    }
}

/// Picks the endpoint of the own domain with the lowest load per slot, and another domain only if there is none.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalOnly;

impl Policy for LocalOnly {
    const SHEDS: bool = false;

    fn choose(
        &mut self,
        _: &RouteQuery<'_>,
        candidates: &[Candidate],
        _: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)> {
        let is_local = |candidate: &Candidate| matches!(candidate.target, Target::Endpoint(_));
        least_load(candidates, is_local).or_else(|| least_load(candidates, |_| true))
    }
}

fn least_load(candidates: &[Candidate], filter: impl Fn(&Candidate) -> bool) -> Option<(usize, Reason)> {
    let filtered = candidates.iter().enumerate().filter(|(_, candidate)| filter(candidate));
    let least = filtered.min_by(|a, b| a.1.load_per_slot.total_cmp(&b.1.load_per_slot));
    least.map(|(index, _)| (index, Reason::Best))
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / MILLIS_PER_SECOND
}
