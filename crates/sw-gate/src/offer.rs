//! Configurations as VMs send them to each other, in full or as a delta.
//!
//! A change usually touches a few lines of a text of megabytes. A VM that runs the previous version is sent only what
//! lies between the common prefix and the common suffix.

use std::sync::Arc;

use sw_unit::{Digest, Version};

use crate::FleetVersion;

/// A configuration that the store or a peer offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOffer {
    /// Version number.
    pub number: Version,
    /// Digest of the full text.
    pub digest: Digest,
    /// The full text, or the part of it that is not in the base.
    pub text: String,
    /// What to reuse of the receiver's text; `None` if the text is complete.
    pub base: Option<DeltaBase>,
}

/// The parts of an earlier text that a later text shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeltaBase {
    /// Digest of the earlier text.
    pub digest: Digest,
    /// Length of the shared prefix, in bytes.
    pub prefix: usize,
    /// Length of the shared suffix, in bytes.
    pub suffix: usize,
}

/// The texts that offers are built from.
#[derive(Debug, Clone)]
pub struct ConfigOfferSource {
    pub(crate) version: Arc<FleetVersion>,
    pub(crate) previous: Option<Arc<(Digest, String)>>,
}

impl ConfigOfferSource {
    /// Offers the configuration in force to a VM that runs the one with the digest `known`.
    ///
    /// The offer is a delta if that is the previous configuration.
    pub fn offer(&self, known: Option<Digest>) -> ConfigOffer {
        let version = &self.version;
        match self.previous.as_deref().filter(|(digest, _)| Some(*digest) == known) {
            Some((digest, text)) => ConfigOffer::delta(version, *digest, text),
            None => ConfigOffer::full(version.number, version.digest, version.text.clone()),
        }
    }
}

impl ConfigOffer {
    /// Creates an offer of a full text.
    pub fn full(number: Version, digest: Digest, text: String) -> Self {
        Self {
            number,
            digest,
            text,
            base: None,
        }
    }

    /// Creates an offer of what differs from an earlier text.
    fn delta(version: &FleetVersion, digest: Digest, earlier: &str) -> Self {
        let later = version.text.as_str();
        let prefix = floor_char_boundary(later, common_len(later.bytes(), earlier.bytes()));
        let max_suffix = later.len().min(earlier.len()) - prefix;
        let suffix = common_len(later.bytes().rev(), earlier.bytes().rev()).min(max_suffix);
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

    /// Returns the full text, given this VM's configuration; `None` if that is not the base.
    pub fn resolve(self, local: Option<(Digest, &str)>) -> Option<String> {
        let Some(base) = self.base else {
            return Some(self.text);
        };
        let (_, earlier) = local.filter(|(digest, _)| *digest == base.digest)?;
        let prefix = earlier.get(..base.prefix)?;
        let suffix = earlier.get(earlier.len().checked_sub(base.suffix)?..)?;
        Some([prefix, &self.text, suffix].concat())
    }
}

/// Returns the length of the common prefix.
fn common_len(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

/// Returns the last character boundary at or before `index`.
fn floor_char_boundary(text: &str, index: usize) -> usize {
    (0..=index)
        .rev()
        .find(|index| text.is_char_boundary(*index))
        .unwrap_or(0)
}
