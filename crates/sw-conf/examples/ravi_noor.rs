//! Prints the fleet configuration of the Ravi Noor deployment: `cargo run -p sw-conf --example ravi_noor`.

use sw_conf::{EndpointOptions, FleetBuilder, RouteOptions, WorkspaceOptions};

const REGIONS: [&str; 3] = ["lahore", "multan", "hyderabad"];

fn main() {
    let mut fleet = FleetBuilder::new();
    fleet.objective("100000", "1", "0.02");
    for region in REGIONS {
        fleet.region(region).domain(region, region);
    }
    fleet.link(["lahore", "multan"], 2_000, 12, "0.02");
    fleet.link(["lahore", "hyderabad"], 2_000, 25, "0.02");
    fleet.link(["multan", "hyderabad"], 2_000, 18, "0.02");
    fleet
        .model("registry-7b", 14_000_000_000)
        .model("registry-30b", 60_000_000_000);
    fleet.adapter("registry-30b-season", "registry-30b", 400_000_000);
    for (index, (region, price)) in REGIONS.into_iter().zip(["0.40", "0.30", "0.45"]).enumerate() {
        for number in 1..=4 {
            let options = EndpointOptions {
                models: if number <= 2 {
                    &["registry-7b"]
                } else {
                    &["registry-7b", "registry-30b", "registry-30b-season"]
                },
                slots: Some(16),
                prefill_tokens_per_s: Some(8_000),
                token_ms: Some(20),
                price: Some(price),
                checks_orders: true,
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
            token_ms: Some(20),
            ..EndpointOptions::default()
        };
        fleet.endpoint(
            &format!("ledger-{region}"),
            region,
            &format!("10.{index}.2.1:8080"),
            &options,
        );
    }
    fleet
        .class("quick-question", "1", 60)
        .class("season-summary", "2", 400)
        .class("payment-posting", "3", 1);
    let quick = RouteOptions {
        class: "quick-question",
        models: &["registry-7b"],
        regions: &REGIONS,
        worth: Some("1"),
        deadline_ms: 6_000,
        idempotent: true,
        ..RouteOptions::default()
    };
    fleet.route("delivery-question", &quick);
    let summary = RouteOptions {
        class: "season-summary",
        models: &["registry-30b-season", "registry-30b"],
        worth: Some("4"),
        deadline_ms: 60_000,
        ..quick
    };
    fleet.route("season-summary", &summary);
    let payment = RouteOptions {
        class: "payment-posting",
        services: &["ledger-lahore", "ledger-multan", "ledger-hyderabad"],
        regions: &REGIONS,
        worth: Some("5"),
        deadline_ms: 10_000,
        ..RouteOptions::default()
    };
    fleet.route("payment-posting", &payment);
    let punjab = RouteOptions {
        regions: &["lahore", "multan"],
        services: &["ledger-lahore", "ledger-multan"],
        ..payment
    };
    fleet.route("weighbridge-entry", &punjab);
    let routes = ["delivery-question", "season-summary", "payment-posting"];
    let clerk = WorkspaceOptions {
        key: "replace-clerks",
        quota_per_s: 50,
        home: None,
        routes: &routes,
    };
    fleet.workspace("clerks", &clerk);
    let supervisors = WorkspaceOptions {
        key: "replace-supervisors",
        quota_per_s: 200,
        home: Some("multan"),
        routes: &["delivery-question", "weighbridge-entry"],
    };
    fleet.workspace("supervisors", &supervisors);
    print!("{fleet}");
}
