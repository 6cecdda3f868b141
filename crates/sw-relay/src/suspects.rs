//! The suspects of one crash.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{Fingerprint, Millis, PartId};

/// Maximum number of parts among the suspects of one crash.
const MAX_PARTS: usize = 32;
/// Maximum number of requests among the suspects of one crash.
const MAX_REQUESTS: usize = 64;
/// Time since its first event for which a response counts as just started.
const BEGUN_FOR: Millis = Millis(100);

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

/// How far an endpoint had come with a response when it crashed; the sooner, the more likely the request is the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub enum Progress {
    /// It had sent no event.
    #[default]
    NoEvent,
    /// It had just sent the first event.
    Begun,
    /// It had sent the first event a while ago.
    Writing,
}

impl Progress {
    /// Returns the progress of a response that broke off a time after its first event; `None` if it had no event.
    pub(crate) fn since_first_event(time: Option<Millis>) -> Self {
        match time {
            None => Self::NoEvent,
            Some(time) if time < BEGUN_FOR => Self::Begun,
            Some(_) => Self::Writing,
        }
    }
}

/// Suspects that are named together: requests whose prompts have the same parts, with these parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SuspectGroup {
    pub(crate) suspects: Vec<Suspect>,
    pub(crate) progress: Progress,
}

/// The suspects of one crash; of each kind, up to a maximum number of those with the least progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspects {
    /// The least progress with a request that had the suspect.
    all: IndexMap<Suspect, Progress>,
    /// The parts that were named together with a request, because its prompt may have them.
    parts_of: IndexMap<Suspect, IndexSet<Suspect>>,
}

impl Suspects {
    /// Adds suspects that are named together, and returns whether this is news.
    pub(crate) fn extend(&mut self, suspects: &[Suspect], progress: Progress) -> bool {
        let mut is_news = false;
        for suspect in suspects {
            is_news |= self.insert(*suspect, progress);
        }
        let (requests, parts): (Vec<_>, Vec<_>) = suspects
            .iter()
            .filter(|suspect| self.all.contains_key(*suspect))
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

    fn insert(&mut self, suspect: Suspect, progress: Progress) -> bool {
        if let Some(known) = self.all.get_mut(&suspect) {
            let is_less = progress < *known;
            *known = progress.min(*known);
            return is_less;
        }
        let has_room = self.make_room(suspect, progress);
        if has_room {
            self.all.insert(suspect, progress);
        }
        has_room
    }

    /// Returns whether there is room for a suspect, if need be by removing one with more progress.
    fn make_room(&mut self, suspect: Suspect, progress: Progress) -> bool {
        let limit = if suspect.is_request() { MAX_REQUESTS } else { MAX_PARTS };
        let is_same_kind = |other: &Suspect| other.is_request() == suspect.is_request();
        if self.all.keys().filter(|other| is_same_kind(other)).count() < limit {
            return true;
        }
        let others = self.all.iter().filter(|(other, _)| is_same_kind(other));
        let Some((last, most)) = others.max_by_key(|(_, progress)| **progress) else {
            return false;
        };
        let (last, is_later) = (*last, *most > progress);
        if is_later {
            self.retain(|suspect| suspect != last);
        }
        is_later
    }

    /// Returns the suspects as they are to be named together: the requests with the same progress whose prompts may have
    /// the same parts, with these parts; then the others by their progress.
    pub(crate) fn groups(&self) -> Vec<SuspectGroup> {
        let mut named: Vec<(&IndexSet<Suspect>, SuspectGroup)> = Vec::new();
        for (request, parts) in self.parts_of.iter().filter(|(_, parts)| !parts.is_empty()) {
            let progress = self.progress_of(*request);
            let mut groups = named.iter_mut();
            let known = groups.find(|(known, group)| *known == parts && group.progress == progress);
            if let Some((_, group)) = known {
                group.suspects.push(*request);
                continue;
            }
            let suspects = parts.iter().copied().chain([*request]).collect();
            named.push((parts, SuspectGroup { suspects, progress }));
        }
        let mut groups: Vec<_> = named.into_iter().map(|(_, group)| group).collect();
        let unnamed = self.unnamed(&groups);
        groups.extend(unnamed);
        groups
    }

    /// Returns the suspects that `groups` do not name with the progress that they have.
    fn unnamed(&self, groups: &[SuspectGroup]) -> Vec<SuspectGroup> {
        let named = groups.iter().flat_map(|group| {
            let suspects = group.suspects.iter();
            suspects.map(|suspect| (*suspect, group.progress))
        });
        let named: IndexSet<_> = named.collect();
        let mut others: IndexMap<_, Vec<_>> = IndexMap::new();
        for (suspect, progress) in &self.all {
            if !named.contains(&(*suspect, *progress)) {
                let kind = (suspect.is_request(), *progress);
                others.entry(kind).or_default().push(*suspect);
            }
        }
        let others = others.into_iter();
        others
            .map(|((_, progress), suspects)| SuspectGroup { suspects, progress })
            .collect()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.all.keys().copied()
    }

    pub(crate) fn contains(&self, suspect: Suspect) -> bool {
        self.all.contains_key(&suspect)
    }

    /// Returns the progress with a suspect; that with no event if it is not among them.
    pub(crate) fn progress_of(&self, suspect: Suspect) -> Progress {
        self.all.get(&suspect).copied().unwrap_or_default()
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
        self.all.retain(|suspect, _| is_kept(*suspect));
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
