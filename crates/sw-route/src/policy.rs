//! Policies that choose a candidate.

use sw_unit::Millis;

use crate::{Candidate, Reason, RouteQuery, Target};

/// Divisor of the score of a candidate in another region, which has to be better than a local one by this factor.
const REMOTE_SCORE_DIVISOR: f64 = 0.97;
/// Candidates are close to the best if their score is at most the best one times this factor, plus [`CLOSE_SECONDS`].
const CLOSE_FACTOR: f64 = 1.02;
/// Difference of scores that still counts as close, in seconds of latency of the request.
const CLOSE_SECONDS: f64 = 0.02;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Factor by which the actual time until completion may exceed its estimate.
const COMPLETION_MARGIN: f64 = 2.0;
/// Weight of a second after the deadline, in seconds of latency.
const LATE_FACTOR: f64 = 10.0;
/// Weight of the time until the first token in the latency; the rest is the weight of the time until completion.
const FIRST_TOKEN_WEIGHT: f64 = 0.5;

/// Chooses one of the candidates.
pub trait Policy {
    /// Whether requests are shed that are not worth the delay that they cause for others.
    const SHEDS: bool;

    /// Returns the index of the chosen candidate and the reason; `None` if there are no candidates.
    fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        candidates: &[Candidate],
        rng: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)>;
}

/// Chooses by expected latency, weighted by the worth of the request, and by cost.
///
/// Of the candidates whose scores are close to the best it takes the less loaded of two random ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weighted;

impl Weighted {
    /// Returns the score of a candidate; lower is better.
    pub fn score(query: &RouteQuery<'_>, candidate: &Candidate) -> f64 {
        let objective = &query.fleet.objective;
        let first = seconds(candidate.first_token);
        let end = seconds(candidate.completion);
        let latency = FIRST_TOKEN_WEIGHT * first + (1.0 - FIRST_TOKEN_WEIGHT) * end;
        let late = (seconds(candidate.completion) * COMPLETION_MARGIN - seconds(query.remaining)).max(0.0);
        let remote = if candidate.remote { objective.remote.0 } else { 0.0 };
        let worth = query.route.worth.0;
        objective.latency.0 * worth * (latency + LATE_FACTOR * late) + objective.cost.0 * candidate.price + remote
    }
}

impl Policy for Weighted {
    const SHEDS: bool = true;

    fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        candidates: &[Candidate],
        rng: &mut fastrand::Rng,
    ) -> Option<(usize, Reason)> {
        if candidates.len() < 2 {
            return candidates.first().map(|_| (0, Reason::Only));
        }
        let score = |candidate: &Candidate| {
            let divisor = if candidate.remote { REMOTE_SCORE_DIVISOR } else { 1.0 };
            Self::score(query, candidate) / divisor
        };
        let best = candidates.iter().map(score).fold(f64::INFINITY, f64::min);
        let limit = best * CLOSE_FACTOR + CLOSE_SECONDS * query.fleet.objective.latency.0 * query.route.worth.0;
        let close = || {
            candidates
                .iter()
                .enumerate()
                .filter(|(_, candidate)| score(candidate) <= limit)
        };
        let count = close().count();
        if count == 1 {
            return close().next().map(|(index, _)| (index, Reason::Best));
        }
        let first = rng.usize(..count);
        let second = (first + 1 + rng.usize(..count - 1)) % count;
        let (a, b) = (close().nth(first)?, close().nth(second)?);
        let chosen = if a.1.load_per_slot <= b.1.load_per_slot { a } else { b };
        Some((chosen.0, Reason::LessLoaded))
    }
}

/// Chooses the candidates in turn.
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

/// Chooses the candidate with the lowest load per slot.
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

/// Chooses the endpoint of the local domain with the lowest load per slot; a remote domain only if there is none.
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
