//! Parsing of the fleet configuration.

use indexmap::IndexMap;
use sw_unit::{Bytes, Millis, Money, Rate, RegionId, Tokens, Weight};

use crate::validate::validate;
use crate::{
    Class, ConfigErrors, Document, Domain, Endpoint, EndpointKind, Fleet, Link, Model, Objective, Route, Section,
    Workspace,
};

const SECTIONS: &str = "objective, weight_store, region, domain, link, model, endpoint, class, route and workspace";

impl Fleet {
    /// Parses and checks a fleet configuration that was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns all faults: syntax, unknown sections and keys, values out of range, ids that do not exist, and routes
    /// that no endpoint can serve.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut document = Document::parse(file, text)?;
        let mut faults = ConfigErrors::default();
        let mut fleet = Self {
            objective: objective(document.take_single(file, "objective"), &mut faults),
            ..Self::default()
        };
        let mut weight_store = document.take_single(file, "weight_store");
        fleet.weight_store_rate = weight_store.or("bytes_per_s", Rate(0.0));
        weight_store.finish(&mut faults);
        for mut section in document.take("region") {
            fleet.regions.extend(section.id::<RegionId>());
            section.finish(&mut faults);
        }
        for section in document.take("link") {
            link(section, &mut fleet, &mut faults);
        }
        fleet.domains = collect(document.take("domain"), &mut faults, domain);
        fleet.models = collect(document.take("model"), &mut faults, |section| Some(model(section)));
        fleet.endpoints = collect(document.take("endpoint"), &mut faults, endpoint);
        fleet.classes = collect(document.take("class"), &mut faults, |section| Some(class(section)));
        fleet.routes = collect(document.take("route"), &mut faults, route);
        fleet.workspaces = collect(document.take("workspace"), &mut faults, workspace);
        document.finish(SECTIONS, &mut faults);
        if faults.0.is_empty() {
            validate(&fleet, file, text, &mut faults);
        }
        fleet.share_ids();
        fleet.keys = fleet
            .workspaces
            .iter()
            .map(|(id, workspace)| (workspace.key, id.clone()))
            .collect();
        faults.or(fleet)
    }
}

impl Fleet {
    /// Makes workspaces refer to the ids of routes and regions instead of holding copies.
    fn share_ids(&mut self) {
        for workspace in self.workspaces.values_mut() {
            for id in &mut workspace.routes {
                if let Some((shared, _)) = self.routes.get_key_value(id) {
                    *id = shared.clone();
                }
            }
            workspace.routes.shrink_to_fit();
            if let Some(shared) = workspace.home.as_ref().and_then(|home| self.regions.get(home)) {
                workspace.home = Some(shared.clone());
            }
        }
    }
}

/// Reads sections that are named by an id.
fn collect<K, V>(
    sections: Vec<Section>,
    faults: &mut ConfigErrors,
    read: impl Fn(&mut Section) -> Option<V>,
) -> IndexMap<K, V>
where
    K: std::str::FromStr<Err: std::fmt::Display> + std::hash::Hash + Eq,
{
    let mut items = IndexMap::with_capacity(sections.len());
    for mut section in sections {
        let id = section.id();
        let value = read(&mut section);
        section.finish(faults);
        items.extend(id.zip(value));
    }
    items
}

fn objective(mut section: Section, faults: &mut ConfigErrors) -> Objective {
    let default = Objective::default();
    let objective = Objective {
        cost: section.or("cost", default.cost),
        latency: section.or("latency", default.latency),
        remote: section.or("remote", default.remote),
    };
    section.finish(faults);
    objective
}

fn link(mut section: Section, fleet: &mut Fleet, faults: &mut ConfigErrors) {
    let ends: Vec<RegionId> = section.name.split(' ').filter_map(|end| end.parse().ok()).collect();
    let link = Link {
        bandwidth_mbps: section.required("bandwidth_mbps").unwrap_or_default(),
        latency: section.required("latency_ms").unwrap_or_default(),
        price_per_gb: section.or("price_per_gb", Money::default()),
    };
    match ends.as_slice() {
        [a, b] if a < b => {
            fleet.links.insert((a.clone(), b.clone()), link);
        }
        _ => {
            let name = section.name.clone();
            section.reject("name", &name, "two regions in alphabetical order are allowed");
        }
    }
    section.finish(faults);
}

fn domain(section: &mut Section) -> Option<Domain> {
    Some(Domain {
        region: section.required("region")?,
    })
}

fn model(section: &mut Section) -> Model {
    let size = section.or("size_bytes", Bytes(0));
    Model {
        size,
        base: section.optional("base"),
    }
}

fn endpoint(section: &mut Section) -> Option<Endpoint> {
    let domain = section.required("domain");
    let address = section.required("address");
    let kind = section.or("kind", EndpointKind::Engine);
    let models = section.list("models");
    let slots = section.or("slots", 16_u32);
    if slots == 0 {
        section.reject("slots", "0", "1 or more is allowed");
    }
    let endpoint = Endpoint {
        domain: domain?,
        address: address?,
        kind,
        models,
        slots,
        prefill_rate: section.or("prefill_tokens_per_s", Rate(8_000.0)),
        token_time: section.or("token_ms", Millis(20)),
        price: section.or("price", Money::default()),
        checks_orders: section.flag("checks_orders", false),
        memory: section.optional("memory_bytes"),
    };
    Some(endpoint)
}

fn class(section: &mut Section) -> Class {
    let weight = section.or("weight", Weight(1.0));
    Class {
        weight,
        expected_tokens: section.or("expected_tokens", Tokens(200)),
    }
}

fn route(section: &mut Section) -> Option<Route> {
    let class = section.required("class");
    let models = section.list("models");
    let services = section.list("services");
    let regions = section.list("regions").into_iter().collect();
    let worth = section.or("worth", Weight(1.0));
    let deadline = section.required("deadline_ms");
    let idempotent = section.flag("idempotent", false);
    if deadline == Some(Millis(0)) {
        section.reject("deadline_ms", "0", "1 or more is allowed");
    }
    Some(Route {
        class: class?,
        models,
        services,
        regions,
        worth,
        deadline: deadline?,
        idempotent,
    })
}

fn workspace(section: &mut Section) -> Option<Workspace> {
    let key = section.required("key_sha256");
    let quota = section.required("quota_per_s");
    let home = section.optional("home");
    let routes = section.list("routes");
    Some(Workspace {
        key: key?,
        quota: quota?,
        home,
        routes,
    })
}
