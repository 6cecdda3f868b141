//! Prints the fleet configuration of the Opłatex deployment: `cargo run -p sw-conf --example oplatex`.

use sw_conf::{EndpointOptions, FleetBuilder, RouteOptions, WorkspaceOptions};

const REGIONS: [&str; 3] = ["central", "southern", "western"];

fn main() {
    let mut fleet = FleetBuilder::new();
    fleet.objective("500", "1", "0.05");
    for region in REGIONS {
        fleet.region(region).domain(region, region);
    }
    fleet.link(["central", "southern"], 110, 14, "0.05");
    fleet.link(["central", "western"], 110, 16, "0.05");
    fleet.link(["southern", "western"], 110, 20, "0.05");
    fleet
        .model("fees-8b", 16_000_000_000)
        .model("fees-70b", 140_000_000_000);
    for (index, region) in REGIONS.into_iter().enumerate() {
        for number in 1..=6 {
            let options = EndpointOptions {
                models: if number <= 3 {
                    &["fees-8b"]
                } else {
                    &["fees-8b", "fees-70b"]
                },
                slots: Some(16),
                prefill_tokens_per_s: Some(8_000),
                token_ms: Some(20),
                price: Some("0.40"),
                ..EndpointOptions::default()
            };
            fleet.endpoint(
                &format!("engine-{region}-{number}"),
                region,
                &format!("10.{index}.1.{number}:8000"),
                &options,
            );
        }
        let options = EndpointOptions {
            kind: "service",
            slots: Some(64),
            token_ms: Some(30),
            ..EndpointOptions::default()
        };
        fleet.endpoint(
            &format!("payments-{region}"),
            region,
            &format!("10.{index}.2.1:8080"),
            &options,
        );
    }
    fleet
        .class("fee-query", "1", 50)
        .class("fee-justification", "3", 350)
        .class("payment-order", "3", 1);
    let query = RouteOptions {
        class: "fee-query",
        models: &["fees-8b"],
        regions: &REGIONS,
        worth: Some("1"),
        deadline_ms: 5_000,
        idempotent: true,
        ..RouteOptions::default()
    };
    fleet.route("fee-query", &query);
    let justification = RouteOptions {
        class: "fee-justification",
        models: &["fees-70b"],
        worth: Some("6"),
        deadline_ms: 30_000,
        ..query
    };
    fleet.route("fee-justification", &justification);
    let payment = RouteOptions {
        class: "payment-order",
        services: &["payments-central", "payments-southern", "payments-western"],
        regions: &REGIONS,
        worth: Some("8"),
        deadline_ms: 10_000,
        ..RouteOptions::default()
    };
    fleet.route("payment-order", &payment);
    let routes = ["fee-query", "fee-justification", "payment-order"];
    for (workspace, home, quota_per_s) in [
        ("law-firms", None, 120),
        ("bailiffs", Some("southern"), 60),
        ("citizens", None, 300),
    ] {
        let key = format!("replace-{workspace}");
        fleet.workspace(
            workspace,
            &WorkspaceOptions {
                key: &key,
                quota_per_s,
                home,
                routes: &routes,
            },
        );
    }
    print!("{fleet}");
}
