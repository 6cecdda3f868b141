//! Random arrivals of requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::Display;

use super::Load;

/// Number of different prefixes that prompts share.
const SHARED_PREFIXES: u64 = 8;

/// Kind of a request, which decides where it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Default, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub(crate) enum Target {
    /// A question through a VM.
    #[default]
    Question,
    /// A payment through a VM.
    Payment,
    /// A question sent directly to an engine.
    Direct,
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRequest {
    /// When it is due, after the start of the run.
    pub(crate) offset: Duration,
    /// Its kind.
    pub(crate) target: Target,
    /// Address that it is sent to.
    pub(crate) address: SocketAddr,
    /// Its route.
    pub(crate) route: String,
    /// Its prompt or payment text.
    pub(crate) text: String,
}

/// Generates requests with exponentially distributed gaps.
pub(crate) struct Arrivals<'a> {
    load: &'a Load,
    rng: fastrand::Rng,
    clock_s: f64,
    count: u64,
}

impl<'a> Arrivals<'a> {
    pub(crate) fn new(load: &'a Load) -> Self {
        Self {
            load,
            rng: fastrand::Rng::with_seed(load.seed),
            clock_s: 0.0,
            count: 0,
        }
    }

    fn text(&mut self) -> String {
        let unique = format!("request {} of run {}; ", self.count, self.load.seed);
        // The repeated text is 11 bytes long.
        let shared = format!("history {}; ", self.rng.u64(..SHARED_PREFIXES)).repeat(self.load.prompt_bytes / 11 + 1);
        let text = if self.rng.f64() < self.load.reuse {
            shared + &unique
        } else {
            unique + &shared
        };
        text.chars().take(self.load.prompt_bytes.max(40)).collect()
    }
}

impl Iterator for Arrivals<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        self.clock_s += -(1.0 - self.rng.f64()).ln() / self.load.rate;
        if self.clock_s >= self.load.seconds as f64 {
            return None;
        }
        self.count += 1;
        let text = self.text();
        let vm = self.load.vms[self.rng.usize(..self.load.vms.len())];
        let is_payment = self.rng.f64() < self.load.payments;
        let (target, address, route) = match self.load.compare {
            _ if is_payment => (Target::Payment, vm, &self.load.payment_route),
            Some(engine) if self.count.is_multiple_of(2) => (Target::Direct, engine, &self.load.route),
            _ => (Target::Question, vm, &self.load.route),
        };
        Some(PlannedRequest {
            offset: Duration::from_secs_f64(self.clock_s),
            target,
            address,
            route: route.clone(),
            text,
        })
    }
}
