//! Earlier eras that a mirror has followed.

use std::collections::VecDeque;

use sw_unit::{StoreEra, StorePosition};

/// Maximum number of eras that are remembered; the oldest are dropped.
const MAX_ERAS: usize = 8;

/// The changes of one era that a mirror has followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FollowedEra {
    /// The era.
    pub era: StoreEra,
    /// The revision after which all changes are known.
    pub after: u64,
    /// The last revision.
    pub until: u64,
}

/// Earlier eras that a mirror has followed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EraHistory {
    /// At most one entry for each era, oldest first.
    followed: VecDeque<FollowedEra>,
}

impl EraHistory {
    /// Returns the eras, oldest first.
    pub fn followed(&self) -> impl ExactSizeIterator<Item = FollowedEra> {
        self.followed.iter().copied()
    }

    /// Returns whether a change at a position is known.
    pub(crate) fn includes(&self, position: StorePosition) -> bool {
        let mut followed = self.followed.iter().filter(|followed| followed.era == position.era);
        followed.any(|followed| followed.after < position.revision && position.revision <= followed.until)
    }

    /// Returns whether this history has all that `other` has.
    pub(crate) fn includes_all(&self, other: &Self) -> bool {
        other.followed.iter().all(|other| {
            let same_era = |followed: &&FollowedEra| followed.era == other.era;
            let known = self.followed.iter().find(same_era);
            known.is_some_and(|known| known.after <= other.after && other.until <= known.until)
        })
    }

    /// Adds the changes of an era that a mirror has followed.
    pub(crate) fn record(&mut self, mut added: FollowedEra) {
        if let Some(index) = self.followed.iter().position(|followed| followed.era == added.era)
            && let Some(known) = self.followed.remove(index)
        {
            let is_connected = known.after <= added.until && added.after <= known.until;
            if is_connected {
                added.after = known.after.min(added.after);
                added.until = known.until.max(added.until);
            } else if known.until > added.until {
                added = known;
            }
        }
        let index = self.followed.partition_point(|followed| followed.era < added.era);
        self.followed.insert(index, added);
        if self.followed.len() > MAX_ERAS {
            self.followed.pop_front();
        }
    }

    /// Adds what another mirror knows.
    pub(crate) fn merge(&mut self, other: &Self) {
        for followed in other.followed() {
            self.record(followed);
        }
    }
}

impl FromIterator<FollowedEra> for EraHistory {
    fn from_iter<I: IntoIterator<Item = FollowedEra>>(followed: I) -> Self {
        let mut history = Self::default();
        for followed in followed {
            history.record(followed);
        }
        history
    }
}
