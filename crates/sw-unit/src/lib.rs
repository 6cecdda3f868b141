//! Newtypes for ids, sizes, durations, rates and amounts of money that the other crates share.
//!
//! Every type has `Display` and `FromStr`, and the two are inverse to each other, so values printed to a log line or an
//! INI file can be parsed again. Ids are reference-counted strings: cloning one does not allocate.

mod id;
mod position;
mod quantity;
mod types;

pub use id::{ClassId, DomainId, EndpointId, ModelId, ParseIdError, RegionId, RouteId, VmId, WorkspaceId};
pub use position::{ParsePositionError, StoreEra, StorePosition};
pub use quantity::{
    Bytes, FencingToken, Incarnation, Millis, Money, ParseQuantityError, Rate, Tokens, Version, Weight,
};
pub use types::{Digest, ParseDigestError, ParsePartIdError, PartId, Time, WallTime};
