//! Positions in the history of the platform's store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Era of the platform's store; higher each time the store was restored from an older copy. Zero if it states none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A point in the history of the platform's store.
///
/// The same revision has different contents in different eras, so positions compare by era first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision within the era; zero before anything was read.
    pub revision: u64,
}

impl StorePosition {
    /// Returns the position of a revision in an era.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// The error returned when parsing a [`StorePosition`] fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePositionError;

impl fmt::Display for ParsePositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a position is an era and a revision, separated by a slash")
    }
}

impl std::error::Error for ParsePositionError {}

impl FromStr for StorePosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('/').ok_or(ParsePositionError)?;
        Ok(Self {
            era: era.parse().map_err(|_not_a_number| ParsePositionError)?,
            revision: revision.parse().map_err(|_not_a_number| ParsePositionError)?,
        })
    }
}
