//! Writes a fleet configuration from Rust code.
//!
//! Each method appends a section. Keys have a fixed order and keys with their default value are left out, so that the
//! Python module `shallotwing_fleet` prints the same text.

use std::fmt::{self, Display, Write as _};

/// Builds the text of a fleet configuration, which `Display` writes.
#[derive(Debug, Clone, Default)]
pub struct FleetBuilder {
    text: String,
}

/// Optional keys of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointOptions<'a> {
    /// `engine` or `service`; empty means `engine`.
    pub kind: &'a str,
    /// Models that it serves.
    pub models: &'a [&'a str],
    /// Number of requests that it runs concurrently.
    pub slots: Option<u32>,
    /// Prefill rate in prompt tokens per second.
    pub prefill_tokens_per_s: Option<u32>,
    /// Milliseconds per output token.
    pub token_ms: Option<u32>,
    /// Price per million tokens of an engine, or per thousand calls of a service.
    pub price: Option<&'a str>,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_orders: bool,
    /// Memory for weights in bytes, if models are loaded and unloaded by orders.
    pub memory_bytes: Option<u64>,
}

/// Keys of a route.
#[derive(Debug, Clone, Default)]
pub struct RouteOptions<'a> {
    /// Its class.
    pub class: &'a str,
    /// Models that may serve it.
    pub models: &'a [&'a str],
    /// Plain services that may serve it.
    pub services: &'a [&'a str],
    /// Regions that its data may enter.
    pub regions: &'a [&'a str],
    /// Worth of a response to the caller.
    pub worth: Option<&'a str>,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may be executed twice.
    pub idempotent: bool,
}

/// Keys of a workspace.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceOptions<'a> {
    /// The bearer key; only its digest is printed.
    pub key: &'a str,
    /// Requests per second over the whole fleet.
    pub quota_per_s: u32,
    /// The only region that its data may enter, if it is restricted to one.
    pub home: Option<&'a str>,
    /// Routes that it may use.
    pub routes: &'a [&'a str],
}

impl FleetBuilder {
    /// Creates an empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weights of the routing objective.
    pub fn objective(&mut self, cost: &str, latency: &str, remote: &str) -> &mut Self {
        self.header("objective")
            .key("cost", cost)
            .key("latency", latency)
            .key("remote", remote)
    }

    /// Sets the rate at which the weight store transfers models to a failure domain.
    pub fn weight_store(&mut self, bytes_per_s: u64) -> &mut Self {
        self.header("weight_store").key("bytes_per_s", bytes_per_s)
    }

    /// Adds a region.
    pub fn region(&mut self, id: &str) -> &mut Self {
        self.header(format_args!("region {id}"))
    }

    /// Adds a failure domain.
    pub fn domain(&mut self, id: &str, region: &str) -> &mut Self {
        self.header(format_args!("domain {id}")).key("region", region)
    }

    /// Adds a link between two regions.
    pub fn link(&mut self, ends: [&str; 2], bandwidth_mbps: u32, latency_ms: u32, price_per_gb: &str) -> &mut Self {
        let [a, b] = if ends[0] <= ends[1] { ends } else { [ends[1], ends[0]] };
        self.header(format_args!("link {a} {b}"))
            .key("bandwidth_mbps", bandwidth_mbps)
            .key("latency_ms", latency_ms)
            .key("price_per_gb", price_per_gb)
    }

    /// Adds a model.
    pub fn model(&mut self, id: &str, size_bytes: u64) -> &mut Self {
        self.header(format_args!("model {id}")).key("size_bytes", size_bytes)
    }

    /// Adds an adapter of a model.
    pub fn adapter(&mut self, id: &str, base: &str, size_bytes: u64) -> &mut Self {
        self.model(id, size_bytes).key("base", base)
    }

    /// Adds an endpoint.
    pub fn endpoint(&mut self, id: &str, domain: &str, address: &str, options: &EndpointOptions<'_>) -> &mut Self {
        self.header(format_args!("endpoint {id}"))
            .key("domain", domain)
            .key("address", address);
        if !options.kind.is_empty() {
            self.key("kind", options.kind);
        }
        self.list("models", options.models);
        self.optional("slots", options.slots);
        self.optional("prefill_tokens_per_s", options.prefill_tokens_per_s);
        self.optional("token_ms", options.token_ms);
        self.optional("price", options.price);
        self.flag("checks_orders", options.checks_orders);
        self.optional("memory_bytes", options.memory_bytes);
        self
    }

    /// Adds a request class.
    pub fn class(&mut self, id: &str, weight: &str, expected_tokens: u64) -> &mut Self {
        self.header(format_args!("class {id}"))
            .key("weight", weight)
            .key("expected_tokens", expected_tokens)
    }

    /// Adds a route.
    pub fn route(&mut self, id: &str, options: &RouteOptions<'_>) -> &mut Self {
        self.header(format_args!("route {id}")).key("class", options.class);
        self.list("models", options.models);
        self.list("services", options.services);
        self.list("regions", options.regions);
        self.optional("worth", options.worth);
        self.key("deadline_ms", options.deadline_ms);
        self.flag("idempotent", options.idempotent)
    }

    /// Adds a workspace.
    pub fn workspace(&mut self, id: &str, options: &WorkspaceOptions<'_>) -> &mut Self {
        let key = crate::digest(options.key.as_bytes());
        self.header(format_args!("workspace {id}"))
            .key("key_sha256", key)
            .key("quota_per_s", options.quota_per_s);
        self.optional("home", options.home);
        self.list("routes", options.routes)
    }

    fn header(&mut self, header: impl Display) -> &mut Self {
        let blank = if self.text.is_empty() { "" } else { "\n" };
        writeln!(self.text, "{blank}[{header}]").expect("writing to a string cannot fail");
        self
    }

    fn key(&mut self, key: &str, value: impl Display) -> &mut Self {
        writeln!(self.text, "{key} = {value}").expect("writing to a string cannot fail");
        self
    }

    fn optional(&mut self, key: &str, value: Option<impl Display>) -> &mut Self {
        if let Some(value) = value {
            self.key(key, value);
        }
        self
    }

    fn list(&mut self, key: &str, items: &[&str]) -> &mut Self {
        if !items.is_empty() {
            self.key(key, items.join(", "));
        }
        self
    }

    fn flag(&mut self, key: &str, value: bool) -> &mut Self {
        if value {
            self.key(key, "yes");
        }
        self
    }
}

impl Display for FleetBuilder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
