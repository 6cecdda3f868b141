//! Content of a request, and its fingerprint.

use std::fmt;
use std::sync::OnceLock;

use bytes::Bytes;
use sha2::{Digest as _, Sha256};
use sw_unit::Fingerprint;

/// What makes two requests the same one: target, identity of the caller and body, but not what differs between the
/// attempts of a caller.
///
/// The fingerprint is the same on all VMs, builds and architectures. It is computed when it is first needed, which is not
/// before an endpoint has broken off.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct RequestContent {
    fields: Vec<Bytes>,
    fingerprint: OnceLock<Fingerprint>,
}

impl RequestContent {
    /// Creates the content of a request from its fields, in a fixed order.
    pub fn new(fields: Vec<Bytes>) -> Self {
        Self {
            fields,
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the first 128 bits of the SHA-256 digest of the fields, each preceded by its length.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let mut hasher = Sha256::new();
            for field in &self.fields {
                hasher.update((field.len() as u64).to_le_bytes());
                hasher.update(field);
            }
            let digest = hasher.finalize();
            let first = digest.first_chunk::<16>().expect("a digest has 32 bytes");
            Fingerprint(u128::from_be_bytes(*first))
        })
    }
}

impl fmt::Debug for RequestContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestContent")
            .field("fingerprint", &self.fingerprint.get())
            .finish_non_exhaustive()
    }
}
