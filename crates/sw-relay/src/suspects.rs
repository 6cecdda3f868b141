//! The suspects of one crash.

use indexmap::{IndexMap, IndexSet};
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
    /// The parts that were named together with a request, because its prompt may have them.
    parts_of: IndexMap<Suspect, IndexSet<Suspect>>,
}

impl Suspects {
    /// Adds suspects that are named together, and returns whether this is news.
    pub(crate) fn extend(&mut self, suspects: &[Suspect]) -> bool {
        let mut is_news = false;
        for suspect in suspects {
            is_news |= self.has_room(*suspect) && self.all.insert(*suspect);
        }
        let (requests, parts): (Vec<_>, Vec<_>) = suspects
            .iter()
            .filter(|suspect| self.all.contains(*suspect))
            .partition(|suspect| suspect.is_request());
        if parts.is_empty() {
            return is_news;
        }
        for request in requests {
            let known = self.parts_of.entry(request).or_default();
            let before = known.len();
            known.extend(&parts);
            is_news |= known.len() > before;
        }
        is_news
    }

    fn has_room(&self, suspect: Suspect) -> bool {
        let limit = if suspect.is_request() { MAX_REQUESTS } else { MAX_PARTS };
        let of_kind = self
            .all
            .iter()
            .filter(|other| other.is_request() == suspect.is_request());
        of_kind.count() < limit
    }

    /// Returns the suspects as they are to be named together: the requests whose prompts may have the same parts, with
    /// these parts; the parts of which no request is known; the other requests.
    pub(crate) fn groups(&self) -> Vec<Vec<Suspect>> {
        let mut named: Vec<(&IndexSet<Suspect>, Vec<Suspect>)> = Vec::new();
        for (request, parts) in self.parts_of.iter().filter(|(_, parts)| !parts.is_empty()) {
            match named.iter_mut().find(|(known, _)| *known == parts) {
                Some((_, requests)) => requests.push(*request),
                None => named.push((parts, vec![*request])),
            }
        }
        let named: Vec<Vec<_>> = named
            .into_iter()
            .map(|(parts, requests)| parts.iter().copied().chain(requests).collect())
            .collect();
        let known: IndexSet<_> = named.iter().flatten().copied().collect();
        let (requests, parts) = self.all.difference(&known).partition(|suspect| suspect.is_request());
        let groups = named.into_iter().chain([parts, requests]);
        groups.filter(|group| !group.is_empty()).collect()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.all.iter().copied()
    }

    pub(crate) fn contains(&self, suspect: Suspect) -> bool {
        self.all.contains(&suspect)
    }

    /// Returns the requests whose prompts may have a part.
    pub(crate) fn requests_with(&self, part: Suspect) -> impl Iterator<Item = Suspect> + '_ {
        let requests = self.parts_of.iter().filter(move |(_, parts)| parts.contains(&part));
        requests.map(|(request, _)| *request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(crate) fn retain(&mut self, is_kept: impl Fn(Suspect) -> bool) {
        self.all.retain(|suspect| is_kept(*suspect));
        self.parts_of.retain(|request, _| is_kept(*request));
        for parts in self.parts_of.values_mut() {
            parts.retain(|part| is_kept(*part));
        }
    }

    /// Returns the suspects that are not cleared.
    pub(crate) fn without(&self, is_cleared: impl Fn(Suspect) -> bool) -> Self {
        let mut open = self.clone();
        open.retain(|suspect| !is_cleared(suspect));
        open
    }
}
