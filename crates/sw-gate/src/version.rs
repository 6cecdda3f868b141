//! One version of the fleet configuration.

use std::fmt;

use sw_conf::{ConfigErrors, Fleet};
use sw_route::RoutingTable;
use sw_unit::{Digest, DomainId, Version};

/// One version of the fleet configuration, with data derived from it.
#[derive(Debug)]
pub struct FleetVersion {
    /// Version number.
    pub number: Version,
    /// Digest of the text.
    pub digest: Digest,
    /// Configuration text.
    pub text: String,
    /// Parsed configuration.
    pub fleet: Fleet,
    /// Targets of each route, as seen from the local domain.
    pub routing_table: RoutingTable,
}

/// Why a configuration was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionError {
    /// The text does not match the digest.
    DigestMismatch,
    /// The text is not a valid configuration.
    Invalid(ConfigErrors),
}

impl fmt::Display for VersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DigestMismatch => f.write_str("the digest does not match the text"),
            Self::Invalid(errors) => write!(f, "{errors}"),
        }
    }
}

impl std::error::Error for VersionError {}

impl FleetVersion {
    /// Validates a configuration and derives the routing table of a VM in `local_domain`.
    ///
    /// # Errors
    ///
    /// Returns [`VersionError`] if the text does not match the digest or is not a valid configuration.
    pub fn new(number: Version, digest: Digest, text: String, local_domain: &DomainId) -> Result<Self, VersionError> {
        if sw_conf::digest(text.as_bytes()) != digest {
            return Err(VersionError::DigestMismatch);
        }
        let fleet = Fleet::parse("fleet", &text).map_err(VersionError::Invalid)?;
        let routing_table = RoutingTable::new(&fleet, local_domain);
        Ok(Self {
            number,
            digest,
            text,
            fleet,
            routing_table,
        })
    }
}
