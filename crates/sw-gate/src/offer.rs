//! Configurations as they travel between VMs.
//!
//! A change usually touches a few lines of a text of megabytes. A VM that runs the version before gets only what lies
//! between the common beginning and the common end.

use std::sync::Arc;

use sw_unit::{Digest, Version};

use crate::FleetVersion;

/// A configuration that the store or another VM offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOffer {
    /// Its number.
    pub number: Version,
    /// The digest of its whole text.
    pub digest: Digest,
    /// Its text, or the part of it that the base does not have.
    pub text: String,
    /// What to take from the text that the receiver has.
    pub base: Option<DeltaBase>,
}

/// The parts of an earlier text that a later one shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeltaBase {
    /// The digest of the earlier text.
    pub digest: Digest,
    /// Bytes of its beginning.
    pub prefix: usize,
    /// Bytes of its end.
    pub suffix: usize,
}

/// What offers are made from.
#[derive(Debug, Clone)]
pub struct ConfigOfferSource {
    pub(crate) version: Arc<FleetVersion>,
    pub(crate) previous: Option<Arc<(Digest, String)>>,
}

impl ConfigOfferSource {
    /// The configuration in force, for a VM that runs the one with the digest `known`.
    pub fn offer(&self, known: Option<Digest>) -> ConfigOffer {
        let version = &self.version;
        match self.previous.as_deref().filter(|(digest, _)| Some(*digest) == known) {
            Some((digest, text)) => ConfigOffer::from_base(version, *digest, text),
            None => ConfigOffer::full(version.number, version.digest, version.text.clone()),
        }
    }
}

impl ConfigOffer {
    /// An offer of a whole text.
    pub fn full(number: Version, digest: Digest, text: String) -> Self {
        Self {
            number,
            digest,
            text,
            base: None,
        }
    }

    /// An offer of what differs from an earlier text.
    fn from_base(version: &FleetVersion, digest: Digest, earlier: &str) -> Self {
        let later = version.text.as_str();
        let prefix = boundary(later, common(later.bytes(), earlier.bytes()));
        let room = later.len().min(earlier.len()) - prefix;
        let suffix = common(later.bytes().rev(), earlier.bytes().rev()).min(room);
        let end = later.len() - suffix;
        let end = (end..=later.len())
            .find(|index| later.is_char_boundary(*index))
            .unwrap_or(later.len());
        let base = DeltaBase {
            digest,
            prefix,
            suffix: later.len() - end,
        };
        Self {
            number: version.number,
            digest: version.digest,
            text: later[prefix..end].to_owned(),
            base: Some(base),
        }
    }

    /// The whole text, given the text that this VM has; `None` if that is not the base.
    pub fn resolve(self, own: Option<(Digest, &str)>) -> Option<String> {
        let Some(base) = self.base else {
            return Some(self.text);
        };
        let (_, earlier) = own.filter(|(digest, _)| *digest == base.digest)?;
        let prefix = earlier.get(..base.prefix)?;
        let suffix = earlier.get(earlier.len().checked_sub(base.suffix)?..)?;
        Some([prefix, &self.text, suffix].concat())
    }
}

/// The length of the common beginning.
fn common(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

/// The last character boundary at or before `index`.
fn boundary(text: &str, index: usize) -> usize {
    (0..=index)
        .rev()
        .find(|index| text.is_char_boundary(*index))
        .unwrap_or(0)
}
