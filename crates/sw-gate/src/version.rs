//! One version of the fleet configuration.

use std::fmt;

use sw_conf::{Faults, Fleet};
use sw_route::RoutingTable;
use sw_unit::{Digest, DomainId, Version};

/// One version of the fleet configuration, with what is derived from it.
#[derive(Debug)]
pub struct FleetVersion {
    /// Its number.
    pub number: Version,
    /// The digest of its text.
    pub digest: Digest,
    /// Its text.
    pub text: String,
    /// Its content.
    pub fleet: Fleet,
    /// What each route may use, as seen from this VM's domain.
    pub routing_table: RoutingTable,
}

/// Why a configuration is not put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionError {
    /// The text is not the one that the digest belongs to.
    DigestMismatch,
    /// The text is faulty.
    Faults(Faults),
}

impl fmt::Display for VersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DigestMismatch => f.write_str("the digest does not belong to the text"),
            Self::Faults(faults) => write!(f, "{faults}"),
        }
    }
}

impl std::error::Error for VersionError {}

impl FleetVersion {
    /// Checks a configuration and derives what `own` needs.
    ///
    /// # Errors
    ///
    /// Returns [`VersionError`] if the text does not have the digest, or is faulty.
    pub fn new(number: Version, digest: Digest, text: String, own: &DomainId) -> Result<Self, VersionError> {
        if sw_conf::digest(text.as_bytes()) != digest {
            return Err(VersionError::DigestMismatch);
        }
        let fleet = Fleet::parse("fleet", &text).map_err(VersionError::Faults)?;
        let routing_table = RoutingTable::new(&fleet, own);
        Ok(Self {
            number,
            digest,
            text,
            fleet,
            routing_table,
        })
    }
}
