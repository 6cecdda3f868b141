//! Orders, and the state of endpoints that they are planned from.

use std::collections::BTreeSet;

use strum::{Display, EnumString};
use sw_unit::{Bytes, EndpointId, FencingToken, Incarnation, ModelId};

/// The action that an order asks for.
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
    /// The fencing token of the lease under which the order was given.
    pub fence: FencingToken,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The action.
    pub action: Action,
    /// The model.
    pub model: ModelId,
}

/// The state of an endpoint that accepts orders, as this VM sees it.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// The endpoint.
    pub id: EndpointId,
    /// The incarnation of its process; after a restart nothing is loaded and earlier orders are unknown to it.
    pub incarnation: Incarnation,
    /// Its memory for model weights.
    pub memory: Bytes,
    /// The models that it may load.
    pub models: Vec<ModelId>,
    /// The models that it reports as loaded.
    pub loaded: BTreeSet<ModelId>,
}
