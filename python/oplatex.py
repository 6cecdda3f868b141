"""Prints the fleet configuration of the Opłatex deployment."""

from shallotwing_fleet import Fleet

REGIONS = ["central", "southern", "western"]

fleet = Fleet()
fleet.objective("500", "1", "0.05")
for region in REGIONS:
    fleet.region(region).domain(region, region)
fleet.link("central", "southern", 110, 14, "0.05")
fleet.link("central", "western", 110, 16, "0.05")
fleet.link("southern", "western", 110, 20, "0.05")
fleet.model("fees-8b", 16_000_000_000).model("fees-70b", 140_000_000_000)
for index, region in enumerate(REGIONS):
    for number in range(1, 7):
        fleet.endpoint(
            f"engine-{region}-{number}",
            region,
            f"10.{index}.1.{number}:8000",
            models=["fees-8b"] if number <= 3 else ["fees-8b", "fees-70b"],
            slots=16,
            prefill_tokens_per_s=8000,
            token_ms=20,
            price="0.40",
        )
    fleet.endpoint(f"payments-{region}", region, f"10.{index}.2.1:8080", kind="service", slots=64, token_ms=30)
fleet.request_class("fee-query", 1, 50)
fleet.request_class("fee-justification", 3, 350)
fleet.request_class("payment-order", 3, 1)
fleet.route("fee-query", "fee-query", 5000, REGIONS, models=["fees-8b"], worth=1, idempotent=True)
fleet.route("fee-justification", "fee-justification", 30000, REGIONS, models=["fees-70b"], worth=6, idempotent=True)
services = [f"payments-{region}" for region in REGIONS]
fleet.route("payment-order", "payment-order", 10000, REGIONS, services=services, worth=8)
routes = ["fee-query", "fee-justification", "payment-order"]
for workspace, home, quota in [("law-firms", None, 120), ("bailiffs", "southern", 60), ("citizens", None, 300)]:
    fleet.workspace(workspace, f"replace-{workspace}", quota, home=home, routes=routes)
print(fleet, end="")
