//! Ids used in the fleet configuration.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of an id in bytes.
const MAX_ID_LEN: usize = 64;

/// Error for text that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    found: String,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not an id: 1 to {MAX_ID_LEN} characters of a-z, 0-9, '.', '_' and '-' are allowed",
            self.found.escape_default()
        )
    }
}

impl std::error::Error for ParseIdError {}

fn parse(text: &str) -> Result<Arc<str>, ParseIdError> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_ID_LEN || !text.bytes().all(allowed) {
        return Err(ParseIdError { found: text.to_owned() });
    }
    Ok(Arc::from(text))
}

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse(text).map(Self)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

id! {
    /// Id of a request class, such as quick questions or payment postings.
    ClassId;
    /// Id of a failure domain.
    DomainId;
    /// Id of an endpoint: a model engine or a plain service.
    EndpointId;
    /// Id of a model or an adapter.
    ModelId;
    /// Id of a region.
    RegionId;
    /// Id of a route.
    RouteId;
    /// Id of an entry VM.
    VmId;
    /// Id of a workspace of callers.
    WorkspaceId;
}
