"""Writes a fleet configuration of shallotwing from Python code.

This module has no dependencies and prints the same text as the Rust builder (`sw_conf::FleetBuilder`): keys have a
fixed order, and keys with their default value are left out. Pipe the output into `shallotwing check -` or
`shallotwing apply -`.
"""

import hashlib


class Fleet:
    """Builds a fleet configuration; `str(fleet)` returns it in INI."""

    def __init__(self):
        self._sections = []

    def __str__(self):
        return "\n".join(self._sections)

    def objective(self, cost, latency, remote):
        """Sets the weights of the routing objective."""
        return self._add_section("objective", cost=cost, latency=latency, remote=remote)

    def weight_store(self, bytes_per_s):
        """Sets the rate at which the weight store transfers models to a failure domain."""
        return self._add_section("weight_store", bytes_per_s=bytes_per_s)

    def region(self, id):
        """Adds a region."""
        return self._add_section(f"region {id}")

    def domain(self, id, region):
        """Adds a failure domain."""
        return self._add_section(f"domain {id}", region=region)

    def link(self, a, b, bandwidth_mbps, latency_ms, price_per_gb):
        """Adds a link between two regions."""
        a, b = sorted([a, b])
        return self._add_section(
            f"link {a} {b}", bandwidth_mbps=bandwidth_mbps, latency_ms=latency_ms, price_per_gb=price_per_gb
        )

    def model(self, id, size_bytes, base=None):
        """Adds a model, or an adapter of the model `base`."""
        return self._add_section(f"model {id}", size_bytes=size_bytes, base=base)

    def endpoint(
        self,
        id,
        domain,
        address,
        kind=None,
        models=(),
        slots=None,
        prefill_tokens_per_s=None,
        token_ms=None,
        price=None,
        checks_orders=False,
        memory_bytes=None,
    ):
        """Adds an endpoint."""
        return self._add_section(
            f"endpoint {id}",
            domain=domain,
            address=address,
            kind=kind,
            models=models,
            slots=slots,
            prefill_tokens_per_s=prefill_tokens_per_s,
            token_ms=token_ms,
            price=price,
            checks_orders=checks_orders,
            memory_bytes=memory_bytes,
        )

    def request_class(self, id, weight, expected_tokens):
        """Adds a request class."""
        return self._add_section(f"class {id}", weight=weight, expected_tokens=expected_tokens)

    def route(self, id, class_, deadline_ms, regions, models=(), services=(), worth=None, idempotent=False):
        """Adds a route."""
        keys = {"class": class_, "models": models, "services": services, "regions": regions, "worth": worth}
        return self._add_section(f"route {id}", **keys, deadline_ms=deadline_ms, idempotent=idempotent)

    def workspace(self, id, key, quota_per_s, home=None, routes=()):
        """Adds a workspace; only the digest of its key is printed."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._add_section(
            f"workspace {id}", key_sha256=digest, quota_per_s=quota_per_s, home=home, routes=routes
        )

    def _add_section(self, header, **keys):
        lines = [f"[{header}]"]
        for key, value in keys.items():
            if isinstance(value, bool):
                value = "yes" if value else None
            elif isinstance(value, (list, tuple)):
                value = ", ".join(value) or None
            if value is not None:
                lines.append(f"{key} = {value}")
        self._sections.append("\n".join(lines) + "\n")
        return self
