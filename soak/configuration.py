"""The operators' configuration of a soak: one queue and further routes."""

HOST, PREFIX, SERVICE = "q.example", "/q/", "s"
ZONES = ["z1", "z2"]
# Within which a configuration must be in force, and the routes that one adds.
APPLY_WITHIN_S = 4.0
ADDED_ROUTES = 300
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r", "host": HOST, "path_prefix": PREFIX,
                "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 500,
                "priority": 0, "service": SERVICE, "max_attempts": 3,
                "stretch": 2.0, "allowed_regions": []}],
    "services": [{"name": SERVICE, "enforces_capacity": True}], "limits": {}}


def large_configuration(version):
    """The first configuration and further routes, whose number grows."""
    template = CONFIGURATION["routes"][0]
    added = [dict(template, name=f"added-{i}", path_prefix=f"/added{i}/")
             for i in range((version - 1) * ADDED_ROUTES)]
    return dict(CONFIGURATION, version=version,
                routes=CONFIGURATION["routes"] + added)


def last_added_prefix(version):
    return f"/added{(version - 1) * ADDED_ROUTES - 1}/"
