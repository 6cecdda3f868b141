//! The tokens that an entry VM has for the requests of one workspace.

use std::collections::VecDeque;

use sw_unit::{Millis, Time, Tokens};

use super::bucket::Bucket;
use super::demand::Demand;
use super::{GRANT_VALIDITY, MAX_CREDIT_AGE, MILLIS_PER_SECOND, QuotaReply};

/// Time whose demand a VM asks for in advance.
const ADVANCE_MS: f64 = 250.0;
/// Longest time for which a VM refuses without asking; the keeper may get tokens back before the time that it named.
const MAX_LOCAL_REFUSAL: Millis = Millis(250);
/// Time for which a VM does not ask after no VM has responded as keeper.
const SILENT_BACKOFF: Millis = Millis(300);
/// Retry delay of a request that is refused because the keeper is silent.
const SILENT_RETRY: Millis = Millis(250);
/// Time after which an allowance without requests is dropped.
const IDLE_AFTER: Millis = Millis(5_000);

/// Tokens that were granted beyond the need of a request, or credited back.
#[derive(Debug, Clone, Copy)]
struct Spare {
    tokens: f64,
    granted_at: Time,
    expires_at: Time,
}

/// What a VM may do about a request on its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Local {
    /// Admit it: its tokens are taken.
    Admit,
    /// Refuse it; there may be tokens after the time given.
    Refuse(Millis),
    /// Ask the keeper.
    Ask,
    /// The keeper is silent.
    Silent,
}

/// Tokens of one workspace at one entry VM.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    spares: VecDeque<Spare>,
    demand: Demand,
    /// Tokens of requests that were refused without asking since the last call.
    refused: f64,
    refused_until: Time,
    /// When a refused request may come back.
    retry_at: Time,
    silent_until: Time,
    fallback: Bucket,
    used_at: Time,
}

impl Allowance {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            spares: VecDeque::new(),
            demand: Demand::default(),
            refused: 0.0,
            refused_until: Time(0),
            retry_at: Time(0),
            silent_until: Time(0),
            fallback: Bucket::new(0.0, now),
            used_at: now,
        }
    }

    /// Takes the tokens of a request if there are enough here.
    pub(crate) fn take(&mut self, cost: Tokens, now: Time) -> Local {
        let cost = cost.0 as f64;
        self.used_at = now;
        self.demand.add(cost, now);
        if self.take_spares(cost, now) {
            return Local::Admit;
        }
        if self.refused_until > now {
            self.refused += cost;
            return Local::Refuse(self.retry_at.since(now));
        }
        if self.silent_until > now {
            return Local::Silent;
        }
        Local::Ask
    }

    /// Returns the tokens to ask for beyond the need of a request.
    pub(crate) fn wanted(&self, now: Time) -> Tokens {
        let advance = self.demand.per_second(now) * ADVANCE_MS / MILLIS_PER_SECOND;
        let held: f64 = self.usable(now).map(|spare| spare.tokens).sum();
        Tokens((advance - held).max(0.0) as u64)
    }

    /// Removes the tokens of requests that were refused without asking, to be reported to the keeper.
    pub(crate) fn take_refused(&mut self) -> Tokens {
        Tokens(std::mem::take(&mut self.refused) as u64)
    }

    /// Removes the tokens that were not used in time, to be returned to the keeper. Those that are too old are lost.
    pub(crate) fn take_returned(&mut self, now: Time) -> Tokens {
        let is_expired = |spare: &Spare| spare.expires_at <= now;
        let expired = self.spares.iter().filter(|spare| is_expired(spare));
        let returned = expired.filter(|spare| now.since(spare.granted_at) < MAX_CREDIT_AGE);
        let tokens: f64 = returned.map(|spare| spare.tokens).sum();
        self.spares.retain(|spare| !is_expired(spare));
        Tokens(tokens as u64)
    }

    /// Returns whether there are tokens to return.
    pub(crate) fn has_returned(&self, now: Time) -> bool {
        self.spares
            .iter()
            .any(|spare| spare.expires_at <= now && spare.tokens >= 1.0)
    }

    /// Adds tokens that were granted in reply to a call that was made at `asked_at`.
    pub(crate) fn add_granted(&mut self, tokens: Tokens, asked_at: Time) {
        if tokens > Tokens(0) {
            self.spares.push_back(Spare {
                tokens: tokens.0 as f64,
                granted_at: asked_at,
                expires_at: asked_at + GRANT_VALIDITY,
            });
        }
    }

    /// Adds the tokens of a request that was charged at `charged_at` and has not run.
    pub(crate) fn credit(&mut self, tokens: Tokens, charged_at: Time, now: Time) {
        if now.since(charged_at) < MAX_CREDIT_AGE {
            self.spares.push_back(Spare {
                tokens: tokens.0 as f64,
                granted_at: charged_at,
                expires_at: now + Millis(ADVANCE_MS as u64),
            });
        }
    }

    /// Records that the keeper has granted less than was needed.
    pub(crate) fn on_refused(&mut self, reply: QuotaReply, now: Time) {
        self.refused_until = now + reply.wait.min(MAX_LOCAL_REFUSAL);
        self.retry_at = now + reply.wait;
    }

    /// Records that the keeper has responded.
    pub(crate) fn on_response(&mut self) {
        self.silent_until = Time(0);
    }

    /// Records that no VM has responded as keeper.
    pub(crate) fn on_silent(&mut self, now: Time) {
        self.silent_until = now + SILENT_BACKOFF;
    }

    /// Takes the tokens of a request from what this VM may use without the keeper, `rate` tokens per second and `burst` at
    /// once.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if there are too few.
    pub(crate) fn take_fallback(&mut self, cost: Tokens, rate: f64, burst: f64, now: Time) -> Result<(), Millis> {
        self.fallback.refill(rate, burst, now);
        if self.fallback.level() < cost.0 as f64 {
            return Err(SILENT_RETRY);
        }
        self.fallback.take(cost.0 as f64);
        Ok(())
    }

    /// Returns whether nothing is lost if the allowance is dropped.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        now.since(self.used_at) >= IDLE_AFTER && self.spares.is_empty()
    }

    fn usable(&self, now: Time) -> impl Iterator<Item = &Spare> {
        self.spares.iter().filter(move |spare| spare.expires_at > now)
    }

    fn take_spares(&mut self, cost: f64, now: Time) -> bool {
        let held: f64 = self.usable(now).map(|spare| spare.tokens).sum();
        if held < cost {
            return false;
        }
        let mut rest = cost;
        for spare in self.spares.iter_mut().filter(|spare| spare.expires_at > now) {
            let taken = spare.tokens.min(rest);
            spare.tokens -= taken;
            rest -= taken;
        }
        self.spares.retain(|spare| spare.tokens > 0.0);
        true
    }
}
