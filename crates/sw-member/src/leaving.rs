//! Endpoints that are leaving.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Incarnation};

use crate::EndpointIncarnation;

/// Endpoint incarnations that accept no new work.
///
/// The first announcement from any source marks an incarnation as leaving for good; only a higher incarnation of the
/// endpoint accepts work again. Only the highest leaving incarnation of each endpoint is stored, so the state is
/// bounded by the number of endpoints.
#[derive(Debug, Clone, Default)]
pub struct LeavingEndpoints {
    highest: IndexMap<EndpointId, Incarnation>,
    revision: u64,
}

impl LeavingEndpoints {
    /// Marks an incarnation as leaving, and returns whether this changed the set.
    pub fn mark(&mut self, leaving: &EndpointIncarnation) -> bool {
        let known = self.highest.get(&leaving.endpoint);
        if known.is_some_and(|known| *known >= leaving.incarnation) {
            return false;
        }
        self.highest.insert(leaving.endpoint.clone(), leaving.incarnation);
        self.revision += 1;
        true
    }

    /// Whether an incarnation accepts no new work.
    pub fn contains(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.highest
            .get(endpoint)
            .is_some_and(|leaving| *leaving >= incarnation)
    }

    /// Iterates over the highest leaving incarnation of each endpoint.
    pub fn incarnations(&self) -> impl Iterator<Item = EndpointIncarnation> + '_ {
        let entry = |(endpoint, incarnation): (&EndpointId, &Incarnation)| EndpointIncarnation {
            endpoint: endpoint.clone(),
            incarnation: *incarnation,
        };
        self.highest.iter().map(entry)
    }

    /// A counter that grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
