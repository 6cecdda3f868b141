"""Prints the fleet configuration of the Ravi Noor deployment."""

from shallotwing_fleet import Fleet

REGIONS = ["lahore", "multan", "hyderabad"]

fleet = Fleet()
fleet.objective("100000", "1", "0.02")
for region in REGIONS:
    fleet.region(region).domain(region, region)
fleet.link("lahore", "multan", 2000, 12, "0.02")
fleet.link("lahore", "hyderabad", 2000, 25, "0.02")
fleet.link("multan", "hyderabad", 2000, 18, "0.02")
fleet.model("registry-7b", 14_000_000_000).model("registry-30b", 60_000_000_000)
fleet.model("registry-30b-season", 400_000_000, base="registry-30b")
for index, (region, price) in enumerate(zip(REGIONS, ["0.40", "0.30", "0.45"])):
    for number in range(1, 5):
        small, large = ["registry-7b"], ["registry-7b", "registry-30b", "registry-30b-season"]
        fleet.endpoint(
            f"engine-{region}-{number}",
            region,
            f"10.{index}.1.{number}:8000",
            models=small if number <= 2 else large,
            slots=16,
            prefill_tokens_per_s=8000,
            token_ms=20,
            price=price,
            checks_orders=True,
        )
    fleet.endpoint(f"ledger-{region}", region, f"10.{index}.2.1:8080", kind="service", slots=64, token_ms=20)
fleet.request_class("quick-question", 1, 60)
fleet.request_class("season-summary", 2, 400)
fleet.request_class("payment-posting", 3, 1)
fleet.route(
    "delivery-question", "quick-question", 6000, REGIONS, models=["registry-7b"], worth=1, idempotent=True
)
fleet.route(
    "season-summary",
    "season-summary",
    60000,
    REGIONS,
    models=["registry-30b-season", "registry-30b"],
    worth=4,
    idempotent=True,
)
services = [f"ledger-{region}" for region in REGIONS]
fleet.route("payment-posting", "payment-posting", 10000, REGIONS, services=services, worth=5)
fleet.route("weighbridge-entry", "payment-posting", 10000, REGIONS[:2], services=services[:2], worth=5)
fleet.workspace("clerks", "replace-clerks", 50, routes=["delivery-question", "season-summary", "payment-posting"])
fleet.workspace(
    "supervisors", "replace-supervisors", 200, home="multan", routes=["delivery-question", "weighbridge-entry"]
)
print(fleet, end="")
