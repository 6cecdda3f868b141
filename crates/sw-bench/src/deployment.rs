//! The two deployments of the users' brief, reduced to what the routing policy depends on.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString};
use sw_conf::{EndpointOptions, Fleet, FleetBuilder, RouteOptions, WorkspaceOptions};
use sw_engine::Options;
use sw_unit::{Millis, Rate, Tokens};

/// The bearer key of the only workspace.
pub(crate) const KEY: &str = "key";
const MODEL: &str = "m";

/// A deployment from the users' brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Ravi Noor: 12 engines, links of 2 Gb/s; the main objective is cost.
    RaviNoor,
    /// Opłatex: 18 engines, links of 100 Mb/s; the main objective is tail latency weighted by worth.
    Oplatex,
}

/// The workload of a request class.
#[derive(Debug, Clone, Copy)]
pub struct ClassProfile {
    /// The name of the class and of its route.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Worth of a response within the deadline.
    pub worth: f64,
    /// Tokens of the prompt prefix that all requests of a prefix group share.
    pub shared: Tokens,
    /// Prompt tokens after the shared prefix, unique to each request.
    pub unique: Tokens,
    /// Output tokens.
    pub output: Tokens,
    /// Time within which a response is useful.
    pub deadline: Millis,
    /// Number of different shared prefixes.
    pub prefix_groups: u64,
}

const RAVI_NOOR: [ClassProfile; 2] = [
    ClassProfile {
        name: "question",
        share: 0.85,
        worth: 1.0,
        shared: Tokens(512),
        unique: Tokens(120),
        output: Tokens(60),
        deadline: Millis(6_000),
        prefix_groups: 40,
    },
    ClassProfile {
        name: "summary",
        share: 0.15,
        worth: 4.0,
        shared: Tokens(10_240),
        unique: Tokens(600),
        output: Tokens(300),
        deadline: Millis(40_000),
        prefix_groups: 60,
    },
];

const OPLATEX: [ClassProfile; 2] = [
    ClassProfile {
        name: "query",
        share: 0.8,
        worth: 1.0,
        shared: Tokens(1_024),
        unique: Tokens(80),
        output: Tokens(50),
        deadline: Millis(5_000),
        prefix_groups: 30,
    },
    ClassProfile {
        name: "justification",
        share: 0.2,
        worth: 6.0,
        shared: Tokens(4_096),
        unique: Tokens(800),
        output: Tokens(350),
        deadline: Millis(30_000),
        prefix_groups: 80,
    },
];

impl Deployment {
    /// Returns the request classes.
    pub fn classes(self) -> &'static [ClassProfile] {
        match self {
            Self::RaviNoor => &RAVI_NOOR,
            Self::Oplatex => &OPLATEX,
        }
    }

    /// Returns the number of engines in each of the three failure domains.
    pub fn engines(self) -> usize {
        match self {
            Self::RaviNoor => 4,
            Self::Oplatex => 6,
        }
    }

    /// Returns the bandwidth of a link between regions, in megabits per second.
    pub fn link_mbps(self) -> Rate {
        match self {
            Self::RaviNoor => Rate(2_000.0),
            Self::Oplatex => Rate(100.0),
        }
    }

    /// Returns the one-way latency of a link between regions.
    pub fn link_latency(self) -> Millis {
        Millis(15)
    }

    /// Returns the price of a million tokens in the failure domain with this index.
    pub fn price(self, domain: usize) -> f64 {
        match self {
            Self::RaviNoor => [0.40, 0.30, 0.45][domain],
            Self::Oplatex => [0.40, 0.40, 0.40][domain],
        }
    }

    /// Returns the options of each engine model.
    pub fn engine(self) -> Options {
        Options::default()
    }

    /// Returns the requests per second that saturate one failure domain if no prompt is cached.
    pub fn capacity(self) -> Rate {
        let options = self.engine();
        // Duration of a decode step with all slots busy; each slot generates one token per step.
        let token_s = options.token_time.0 as f64 * (1.0 + options.batch_slowdown) / 1_000.0;
        let seconds = self.classes().iter().map(|class| {
            let decode = class.output.0 as f64 * token_s / f64::from(options.slots);
            let prefill = (class.shared.0 + class.unique.0) as f64 / options.prefill_rate.0;
            class.share * (decode + prefill)
        });
        Rate(self.engines() as f64 / seconds.sum::<f64>())
    }

    /// Returns the fleet configuration of the VM, as text and parsed.
    pub(crate) fn fleet(self) -> (String, Fleet) {
        let mut builder = FleetBuilder::new();
        match self {
            Self::RaviNoor => builder.objective("100000", "1", "0.02"),
            Self::Oplatex => builder.objective("500", "1", "0.05"),
        };
        builder.model(MODEL, 1);
        let regions = ["r0", "r1", "r2"];
        for (index, region) in regions.iter().enumerate() {
            builder.region(region).domain(region, region);
            for engine in 0..self.engines() {
                let options = self.engine();
                let price = self.price(index).to_string();
                let endpoint = EndpointOptions {
                    models: &[MODEL],
                    slots: Some(options.slots),
                    prefill_tokens_per_s: Some(options.prefill_rate.0 as u32),
                    token_ms: Some(options.token_time.0 as u32),
                    price: Some(&price),
                    ..EndpointOptions::default()
                };
                let address = format!("127.0.0.1:{}", 1_000 + index * 100 + engine);
                builder.endpoint(&endpoint_id(index, engine), region, &address, &endpoint);
            }
        }
        for (a, b) in [("r0", "r1"), ("r0", "r2"), ("r1", "r2")] {
            builder.link([a, b], self.link_mbps().0 as u32, self.link_latency().0 as u32, "0.02");
        }
        let mut routes = Vec::new();
        for class in self.classes() {
            builder.class(class.name, &class.worth.to_string(), class.output.0);
            let worth = class.worth.to_string();
            let route = RouteOptions {
                class: class.name,
                models: &[MODEL],
                regions: &regions,
                worth: Some(&worth),
                deadline_ms: class.deadline.0,
                idempotent: true,
                ..RouteOptions::default()
            };
            builder.route(class.name, &route);
            routes.push(class.name);
        }
        builder.workspace(
            "w",
            &WorkspaceOptions {
                key: KEY,
                quota_per_s: 1_000_000,
                home: None,
                routes: &routes,
            },
        );
        let text = builder.to_string();
        let fleet = Fleet::parse("fleet", &text).expect("the bench's configuration is valid");
        (text, fleet)
    }
}

/// Returns the id of an engine as an endpoint.
pub(crate) fn endpoint_id(domain: usize, engine: usize) -> String {
    format!("e-{domain}-{engine}")
}
