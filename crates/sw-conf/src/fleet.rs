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
    /// Returns all syntax errors, unknown sections and keys, and values out of range. If there are none, returns all
    /// references to ids that do not exist and all routes that no endpoint can serve.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut document = Document::parse(file, text)?;
        let mut errors = ConfigErrors::default();
        let mut fleet = Self {
            objective: objective(document.take_single(file, "objective"), &mut errors),
            ..Self::default()
        };
        let mut weight_store = document.take_single(file, "weight_store");
        fleet.weight_store_rate = weight_store.optional_or("bytes_per_s", Rate(0.0));
        weight_store.finish(&mut errors);
        for mut section in document.take("region") {
            fleet.regions.extend(section.id::<RegionId>());
            section.finish(&mut errors);
        }
        for section in document.take("link") {
            link(section, &mut fleet, &mut errors);
        }
        fleet.domains = collect(document.take("domain"), &mut errors, domain);
        fleet.models = collect(document.take("model"), &mut errors, |section| Some(model(section)));
        fleet.endpoints = collect(document.take("endpoint"), &mut errors, endpoint);
        fleet.classes = collect(document.take("class"), &mut errors, |section| Some(class(section)));
        fleet.routes = collect(document.take("route"), &mut errors, route);
        fleet.workspaces = collect(document.take("workspace"), &mut errors, workspace);
        document.finish(SECTIONS, &mut errors);
        if errors.0.is_empty() {
            validate(&fleet, file, text, &mut errors);
        }
        fleet.share_ids();
        fleet.keys = fleet
            .workspaces
            .iter()
            .map(|(id, workspace)| (workspace.key, id.clone()))
            .collect();
        errors.into_result(fleet)
    }
}

impl Fleet {
    /// Makes workspaces share the ids of routes and regions instead of holding copies, to save memory.
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

/// Parses sections whose header has an id.
fn collect<K, V>(
    sections: Vec<Section>,
    errors: &mut ConfigErrors,
    read: impl Fn(&mut Section) -> Option<V>,
) -> IndexMap<K, V>
where
    K: std::str::FromStr<Err: std::fmt::Display> + std::hash::Hash + Eq,
{
    let mut items = IndexMap::with_capacity(sections.len());
    for mut section in sections {
        let id = section.id();
        let value = read(&mut section);
        section.finish(errors);
        items.extend(id.zip(value));
    }
    items
}

fn objective(mut section: Section, errors: &mut ConfigErrors) -> Objective {
    let default = Objective::default();
    let objective = Objective {
        cost: section.optional_or("cost", default.cost),
        latency: section.optional_or("latency", default.latency),
        remote: section.optional_or("remote", default.remote),
    };
    section.finish(errors);
    objective
}

fn link(mut section: Section, fleet: &mut Fleet, errors: &mut ConfigErrors) {
    let ends: Vec<RegionId> = section.name.split(' ').filter_map(|end| end.parse().ok()).collect();
    let link = Link {
        bandwidth_mbps: section.required("bandwidth_mbps").unwrap_or_default(),
        latency: section.required("latency_ms").unwrap_or_default(),
        price_per_gb: section.optional_or("price_per_gb", Money::default()),
    };
    match ends.as_slice() {
        [a, b] if a < b => {
            fleet.links.insert((a.clone(), b.clone()), link);
        }
        _ => {
            let name = section.name.clone();
            section.add_error("name", &name, "two regions in alphabetical order are allowed");
        }
    }
    section.finish(errors);
}

fn domain(section: &mut Section) -> Option<Domain> {
    Some(Domain {
        region: section.required("region")?,
    })
}

fn model(section: &mut Section) -> Model {
    let size = section.optional_or("size_bytes", Bytes(0));
    Model {
        size,
        base: section.optional("base"),
    }
}

fn endpoint(section: &mut Section) -> Option<Endpoint> {
    let domain = section.required("domain");
    let address = section.required("address");
    let kind = section.optional_or("kind", EndpointKind::Engine);
    let models = section.list("models");
    let slots = section.optional_or("slots", 16_u32);
    if slots == 0 {
        section.add_error("slots", "0", "1 or more is allowed");
    }
    let endpoint = Endpoint {
        domain: domain?,
        address: address?,
        kind,
        models,
        slots,
        prefill_rate: section.optional_or("prefill_tokens_per_s", Rate(8_000.0)),
        token_time: section.optional_or("token_ms", Millis(20)),
        price: section.optional_or("price", Money::default()),
        checks_orders: section.flag("checks_orders", false),
        memory: section.optional("memory_bytes"),
    };
    Some(endpoint)
}

fn class(section: &mut Section) -> Class {
    let weight = section.optional_or("weight", Weight(1.0));
    Class {
        weight,
        expected_tokens: section.optional_or("expected_tokens", Tokens(200)),
    }
}

fn route(section: &mut Section) -> Option<Route> {
    let class = section.required("class");
    let models = section.list("models");
    let services = section.list("services");
    let regions = section.list("regions").into_iter().collect();
    let worth = section.optional_or("worth", Weight(1.0));
    let deadline = section.required("deadline_ms");
    let idempotent = section.flag("idempotent", false);
    if deadline == Some(Millis(0)) {
        section.add_error("deadline_ms", "0", "1 or more is allowed");
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
