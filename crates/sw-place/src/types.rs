//! Orders and what they are decided on.

use std::collections::BTreeSet;

use strum::{Display, EnumString};
use sw_unit::{Bytes, EndpointId, Fence, Incarnation, ModelId};

/// What an endpoint is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The fencing number of the holder's lease.
    pub fence: Fence,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What to do.
    pub action: Action,
    /// The model.
    pub model: ModelId,
}

/// How an endpoint that takes orders is seen.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// The endpoint.
    pub id: EndpointId,
    /// Its life; a new one has nothing loaded and knows of no order.
    pub incarnation: Incarnation,
    /// Memory for weights.
    pub memory: Bytes,
    /// Models that it may load.
    pub models: Vec<ModelId>,
    /// Models that it reports as loaded.
    pub loaded: BTreeSet<ModelId>,
}
