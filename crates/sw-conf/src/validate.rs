//! Validation across the sections of a fleet configuration.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;

use sw_unit::ModelId;

use crate::{ConfigError, ConfigErrors, EndpointKind, Fleet, Route};

/// Line numbers of the sections' headers.
struct HeaderLines<'a> {
    file: &'a str,
    lines: HashMap<&'a str, usize>,
}

impl<'a> HeaderLines<'a> {
    fn new(file: &'a str, text: &'a str) -> Self {
        let headers = text.lines().enumerate().filter_map(|(index, line)| {
            let header = line.trim().strip_prefix('[')?.strip_suffix(']')?;
            Some((header.trim(), index + 1))
        });
        Self {
            file,
            lines: headers.collect(),
        }
    }

    fn error(&self, header: &str, key: &str, found: &impl Display, expected: &str) -> ConfigError {
        ConfigError {
            file: self.file.to_owned(),
            line: self.lines.get(header).copied().unwrap_or_default(),
            key: format!("[{header}] {key}"),
            found: format!("`{found}`"),
            expected: expected.to_owned(),
        }
    }
}

/// Adds an error for each reference to an id that does not exist, and for each route that no endpoint can serve.
pub(crate) fn validate(fleet: &Fleet, file: &str, text: &str, errors: &mut ConfigErrors) {
    let headers = HeaderLines::new(file, text);
    let out = &mut errors.0;
    check_topology(fleet, &headers, out);
    check_endpoints(fleet, &headers, out);
    for (id, route) in &fleet.routes {
        check_route(fleet, &format!("route {id}"), route, &headers, out);
    }
    check_workspaces(fleet, &headers, out);
}

fn check_topology(fleet: &Fleet, headers: &HeaderLines<'_>, out: &mut Vec<ConfigError>) {
    for (id, domain) in &fleet.domains {
        if !fleet.regions.contains(&domain.region) {
            out.push(headers.error(
                &format!("domain {id}"),
                "region",
                &domain.region,
                "an existing region is required",
            ));
        }
    }
    for (a, b) in fleet.links.keys() {
        for end in [a, b].into_iter().filter(|end| !fleet.regions.contains(*end)) {
            out.push(headers.error(
                &format!("link {a} {b}"),
                "name",
                end,
                "two existing regions are required",
            ));
        }
    }
    for (id, model) in &fleet.models {
        if let Some(base) = model.base.as_ref().filter(|base| !fleet.models.contains_key(*base)) {
            out.push(headers.error(&format!("model {id}"), "base", base, "an existing model is required"));
        }
    }
}

fn check_endpoints(fleet: &Fleet, headers: &HeaderLines<'_>, out: &mut Vec<ConfigError>) {
    let mut addresses = HashSet::new();
    for (id, endpoint) in &fleet.endpoints {
        let header = format!("endpoint {id}");
        if !fleet.domains.contains_key(&endpoint.domain) {
            out.push(headers.error(
                &header,
                "domain",
                &endpoint.domain,
                "an existing failure domain is required",
            ));
        }
        if !addresses.insert(endpoint.address) {
            out.push(headers.error(
                &header,
                "address",
                &endpoint.address,
                "an address of its own is required",
            ));
        }
        if endpoint.kind == EndpointKind::Engine && endpoint.models.is_empty() {
            out.push(headers.error(&header, "models", &"", "an engine needs at least one model"));
        }
        check_models(fleet, &header, &endpoint.models, headers, out);
    }
}

fn check_models(
    fleet: &Fleet,
    header: &str,
    models: &[ModelId],
    headers: &HeaderLines<'_>,
    out: &mut Vec<ConfigError>,
) {
    for model in models.iter().filter(|model| !fleet.models.contains_key(*model)) {
        out.push(headers.error(header, "models", model, "an existing model is required"));
    }
}

fn check_route(fleet: &Fleet, header: &str, route: &Route, headers: &HeaderLines<'_>, out: &mut Vec<ConfigError>) {
    let before = out.len();
    if !fleet.classes.contains_key(&route.class) {
        out.push(headers.error(header, "class", &route.class, "an existing class is required"));
    }
    check_models(fleet, header, &route.models, headers, out);
    for id in &route.services {
        if fleet
            .endpoints
            .get(id)
            .is_none_or(|endpoint| endpoint.kind != EndpointKind::Service)
        {
            out.push(headers.error(
                header,
                "services",
                id,
                "an existing endpoint of kind service is required",
            ));
        }
    }
    if route.models.is_empty() == route.services.is_empty() {
        out.push(headers.error(
            header,
            "models",
            &route.models.len(),
            "either models or services are required",
        ));
    }
    if route.regions.is_empty() {
        out.push(headers.error(header, "regions", &"", "at least one region is required"));
    }
    for region in route.regions.iter().filter(|region| !fleet.regions.contains(*region)) {
        out.push(headers.error(header, "regions", region, "an existing region is required"));
    }
    if out.len() == before && !is_servable(fleet, route) {
        out.push(headers.error(
            header,
            "regions",
            &"these",
            "an endpoint that serves it in a permitted region is required",
        ));
    }
}

fn is_servable(fleet: &Fleet, route: &Route) -> bool {
    fleet.endpoints.iter().any(|(id, endpoint)| {
        let region = fleet.region_of(&endpoint.domain);
        region.is_some_and(|region| route.regions.contains(region)) && fleet.serves(id, endpoint, route)
    })
}

fn check_workspaces(fleet: &Fleet, headers: &HeaderLines<'_>, out: &mut Vec<ConfigError>) {
    let mut keys = HashSet::with_capacity(fleet.workspaces.len());
    for (id, workspace) in &fleet.workspaces {
        let header = || format!("workspace {id}");
        if !keys.insert(workspace.key) {
            out.push(headers.error(&header(), "key_sha256", &workspace.key, "a key of its own is required"));
        }
        for route_id in &workspace.routes {
            let Some(route) = fleet.routes.get(route_id) else {
                out.push(headers.error(&header(), "routes", route_id, "an existing route is required"));
                continue;
            };
            if let Some(home) = workspace.home.as_ref().filter(|home| !route.regions.contains(*home)) {
                let expected = format!("a region that route {route_id} permits is required");
                out.push(headers.error(&header(), "home", home, &expected));
            }
        }
    }
}
