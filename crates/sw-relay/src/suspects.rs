//! The suspects of one crash.

use indexmap::IndexSet;
use sw_unit::{Fingerprint, PartId};

/// Maximum number of parts among the suspects of one crash.
const MAX_PARTS: usize = 32;
/// Maximum number of requests among the suspects of one crash.
const MAX_REQUESTS: usize = 64;

/// What may have crashed an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Suspect {
    /// Each request whose prompt has this part.
    Part(PartId),
    /// One request, whoever sends its copies to which VM.
    Request(Fingerprint),
}

impl Suspect {
    /// Returns whether this is a request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// The suspects of one crash, up to a maximum number of each kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspects {
    all: IndexSet<Suspect>,
    /// The requests that were named together with parts of their prompts.
    started: IndexSet<Suspect>,
}

impl Suspects {
    /// Adds suspects that are named together, and returns whether this is news.
    pub(crate) fn extend(&mut self, suspects: &[Suspect]) -> bool {
        let before = (self.all.len(), self.started.len());
        let mut requests = self.all.iter().filter(|suspect| suspect.is_request()).count();
        let mut parts = self.all.len() - requests;
        for suspect in suspects {
            let (count, limit) = if suspect.is_request() {
                (&mut requests, MAX_REQUESTS)
            } else {
                (&mut parts, MAX_PARTS)
            };
            if *count < limit && self.all.insert(*suspect) {
                *count += 1;
            }
        }
        if suspects.iter().any(|suspect| !suspect.is_request()) {
            let requests = suspects.iter().filter(|suspect| suspect.is_request());
            let known = requests.filter(|request| self.all.contains(*request));
            self.started.extend(known);
        }
        (self.all.len(), self.started.len()) != before
    }

    /// Returns the suspects as they were named together: parts with the requests that may have them, then other requests.
    pub(crate) fn split(&self) -> Vec<Vec<Suspect>> {
        let is_started = |suspect: &Suspect| !suspect.is_request() || self.started.contains(suspect);
        let (started, others): (Vec<_>, Vec<_>) = self.all.iter().copied().partition(is_started);
        [started, others]
            .into_iter()
            .filter(|suspects| !suspects.is_empty())
            .collect()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.all.iter().copied()
    }

    pub(crate) fn contains(&self, suspect: Suspect) -> bool {
        self.all.contains(&suspect)
    }

    /// Returns whether a request may have one of the parts.
    pub(crate) fn is_started(&self, request: Suspect) -> bool {
        self.started.contains(&request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(crate) fn retain(&mut self, is_kept: impl Fn(Suspect) -> bool) {
        self.all.retain(|suspect| is_kept(*suspect));
        self.started.retain(|suspect| is_kept(*suspect));
    }

    /// Returns the suspects that are not cleared.
    pub(crate) fn without(&self, is_cleared: impl Fn(Suspect) -> bool) -> Self {
        let mut open = self.clone();
        open.retain(|suspect| !is_cleared(suspect));
        open
    }
}
