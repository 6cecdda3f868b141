//! The two deployments of the users' brief, as far as the policy sees them.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString};
use sw_conf::{EndpointOptions, Fleet, FleetBuilder, RouteOptions, WorkspaceOptions};
use sw_engine::Options;
use sw_unit::{Millis, Rate, Tokens};

/// The bearer key of the only workspace.
pub(crate) const KEY: &str = "key";
const MODEL: &str = "m";

/// A deployment of the users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Ravi Noor: twelve engines, links of 2 Gb/s, cost first.
    RaviNoor,
    /// Opłatex: eighteen engines, links of 100 Mb/s, worth-weighted tail first.
    Oplatex,
}

/// A request class.
#[derive(Debug, Clone, Copy)]
pub struct ClassProfile {
    /// Its name, which is also its route's.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Worth of an answer.
    pub worth: f64,
    /// Prompt tokens that many requests share.
    pub shared: Tokens,
    /// Prompt tokens of its own.
    pub unique: Tokens,
    /// Tokens of an answer.
    pub output: Tokens,
    /// Time in which an answer is useful.
    pub deadline: Millis,
    /// Shared beginnings that there are.
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
    /// Its request classes.
    pub fn classes(self) -> &'static [ClassProfile] {
        match self {
            Self::RaviNoor => &RAVI_NOOR,
            Self::Oplatex => &OPLATEX,
        }
    }

    /// Engines in each of its three failure domains.
    pub fn engines(self) -> usize {
        match self {
            Self::RaviNoor => 4,
            Self::Oplatex => 6,
        }
    }

    /// Megabits a second of a link between regions.
    pub fn link_mbps(self) -> Rate {
        match self {
            Self::RaviNoor => Rate(2_000.0),
            Self::Oplatex => Rate(100.0),
        }
    }

    /// One-way delay of a link between regions.
    pub fn link_latency(self) -> Millis {
        Millis(15)
    }

    /// Price of a million tokens in the failure domain with this index.
    pub fn price(self, domain: usize) -> f64 {
        match self {
            Self::RaviNoor => [0.40, 0.30, 0.45][domain],
            Self::Oplatex => [0.40, 0.40, 0.40][domain],
        }
    }

    /// The capacity of an engine.
    pub fn engine(self) -> Options {
        Options::default()
    }

    /// Requests a second that saturate one failure domain, with all prompts cold.
    pub fn capacity(self) -> Rate {
        let options = self.engine();
        // With all slots busy a token takes this long, and each slot gives one a step.
        let token_s = options.token_time.0 as f64 * (1.0 + options.batch_slowdown) / 1_000.0;
        let seconds = self.classes().iter().map(|class| {
            let decode = class.output.0 as f64 * token_s / f64::from(options.slots);
            let prefill = (class.shared.0 + class.unique.0) as f64 / options.prefill_rate.0;
            class.share * (decode + prefill)
        });
        Rate(self.engines() as f64 / seconds.sum::<f64>())
    }

    /// The fleet configuration, as the VM has it.
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
        let fleet = Fleet::parse("fleet", &text).expect("the bench's configuration is good");
        (text, fleet)
    }
}

/// The id of an engine.
pub(crate) fn endpoint_id(domain: usize, engine: usize) -> String {
    format!("e-{domain}-{engine}")
}
