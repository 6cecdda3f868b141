//! Prints a fleet configuration from Rust code.
//!
//! Each method appends a section; keys come in a fixed order and keys at their default are left out, so that the
//! Python module of the same name prints the same text.

use std::fmt::{self, Display, Write as _};

/// Collects sections and prints them with `Display`.
#[derive(Debug, Clone, Default)]
pub struct FleetBuilder {
    text: String,
}

/// Optional keys of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointOptions<'a> {
    /// `engine` or `service`; an engine if empty.
    pub kind: &'a str,
    /// Models that it serves.
    pub models: &'a [&'a str],
    /// Requests that it runs at a time.
    pub slots: Option<u32>,
    /// Prompt tokens a second.
    pub prefill_tokens_per_s: Option<u32>,
    /// Milliseconds between two tokens.
    pub token_ms: Option<u32>,
    /// Price of a million tokens or a thousand calls.
    pub price: Option<&'a str>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_orders: bool,
    /// Memory for weights, if models are loaded by order.
    pub memory_bytes: Option<u64>,
}

/// Keys of a route.
#[derive(Debug, Clone, Default)]
pub struct RouteOptions<'a> {
    /// Its class.
    pub class: &'a str,
    /// Models allowed to answer.
    pub models: &'a [&'a str],
    /// Plain services allowed to answer.
    pub services: &'a [&'a str],
    /// Permitted regions.
    pub regions: &'a [&'a str],
    /// Worth to the caller.
    pub worth: Option<&'a str>,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// Keys of a workspace.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceOptions<'a> {
    /// The bearer key; only its digest is printed.
    pub key: &'a str,
    /// Requests a second.
    pub quota_per_s: u32,
    /// The region that it is bound to, if any.
    pub home: Option<&'a str>,
    /// The routes open to it.
    pub routes: &'a [&'a str],
}

impl FleetBuilder {
    /// An empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weights of the objective.
    pub fn objective(&mut self, cost: &str, latency: &str, remote: &str) -> &mut Self {
        self.header("objective")
            .key("cost", cost)
            .key("latency", latency)
            .key("remote", remote)
    }

    /// Sets the rate of the weight store.
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
