//! Endpoints that are leaving.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Incarnation};

use crate::EndpointIncarnation;

/// Lives of endpoints that take no new work.
///
/// The first sign from any source wins and stays for that life; only a higher incarnation takes work again. Of each
/// endpoint the highest leaving life is kept, so the state is bounded by the number of endpoints.
#[derive(Debug, Clone, Default)]
pub struct LeavingEndpoints {
    highest: IndexMap<EndpointId, Incarnation>,
    revision: u64,
}

impl LeavingEndpoints {
    /// Records that a life is leaving, and returns whether that is news.
    pub fn mark(&mut self, life: &EndpointIncarnation) -> bool {
        let known = self.highest.get(&life.endpoint);
        if known.is_some_and(|known| *known >= life.incarnation) {
            return false;
        }
        self.highest.insert(life.endpoint.clone(), life.incarnation);
        self.revision += 1;
        true
    }

    /// Whether a life takes no new work.
    pub fn contains(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.highest
            .get(endpoint)
            .is_some_and(|leaving| *leaving >= incarnation)
    }

    /// All leaving lives.
    pub fn incarnations(&self) -> impl Iterator<Item = EndpointIncarnation> + '_ {
        let life = |(endpoint, incarnation): (&EndpointId, &Incarnation)| EndpointIncarnation {
            endpoint: endpoint.clone(),
            incarnation: *incarnation,
        };
        self.highest.iter().map(life)
    }

    /// A number that grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
