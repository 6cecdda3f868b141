//! The configuration that the cases share.

use crate::store::Store;

pub const HOST: &str = "ficu95.example";

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub max_attempts: u32,
    pub is_resumable: bool,
    pub regions: &'a [&'a str],
}

impl Default for Route<'_> {
    fn default() -> Self {
        Self {
            prefix: "/",
            kind: "idempotent",
            service: "wuno96b",
            timeout_ms: 3_000,
            target_ms: 300,
            max_attempts: 2,
            is_resumable: false,
            regions: &[],
        }
    }
}

/// Writes the operator's configuration, whose services are those of the routes.
pub fn write_configuration(store: &Store, version: u64, routes: &[Route<'_>]) {
    let rows = routes.iter().enumerate().map(|(at, route)| {
        let Route {
            prefix,
            kind,
            service,
            timeout_ms,
            target_ms,
            max_attempts,
            is_resumable,
            regions,
        } = route;
        let regions: Vec<_> = regions.iter().map(|region| format!("\"{region}\"")).collect();
        let regions = regions.join(",");
        format!(
            "{{\"name\":\"r-{at}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":0,\"service\":\"{service}\",\
             \"maxAttempts\":{max_attempts},\"sticky\":false,\"resumable\":{is_resumable},\"gapTargetMs\":800,\
             \"allowedRegions\":[{regions}]}}"
        )
    });
    let rows: Vec<_> = rows.collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":400,\"protocol\":\"h1\",\"tls\":false,\
                 \"coldS\":0.0,\"coldPerS\":0.0}}"
            )
        })
        .collect();
    let limits = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
    let (rows, services) = (rows.join(","), services.join(","));
    store.put(
        "op/config",
        &format!("{{\"version\":{version},\"routes\":[{rows}],\"services\":[{services}],\"limits\":{limits}}}"),
    );
}
