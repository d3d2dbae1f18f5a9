"""The two current deployments, as sites for the benchmarks."""

from dataclasses import dataclass
from typing import Any

from standins.site_processes import settings_text
from standins.site_processes import SiteProcesses


@dataclass(frozen=True, slots=True)
class Deployment:
    """The site of one company, with one service.

    Attributes:
        name: Name of the site.
        service: Name of the service.
        upstreams_per_zone: Number of upstreams by availability zone.
        host_count: Number of entry hosts of the site.
    """

    name: str
    service: str
    upstreams_per_zone: dict[str, int]
    host_count: int

    @property
    def slots(self) -> int:
        """Return the number of slots of all upstreams together."""
        return 4 * sum(self.upstreams_per_zone.values())

    @property
    def path(self) -> str:
        """Return the request path."""
        return f"/{self.service}/state"


QADRI = Deployment(
    "qadri", "dial-watch", {"amman": 7, "irbid": 7, "zarqa": 6}, 17
)
LLYTHYREN = Deployment(
    "llythyren",
    "catalogue",
    {"caerdydd": 4, "abertawe": 4, "wrecsam": 4, "aberystwyth": 3},
    12,
)
DEPLOYMENTS = {d.name: d for d in (QADRI, LLYTHYREN)}


def deployment_settings(deployment: Deployment, **tables: Any) -> str:
    """Return the settings of a deployment.

    Args:
        deployment: The deployment.
        tables: Top-level tables that replace the defaults.
    """
    zones = {z: {"distance_ms": 0.05} for z in deployment.upstreams_per_zone}
    services = {
        deployment.service: {
            "paths": [f"/{deployment.service}"],
            "queue_most": 1000,
        }
    }
    defaults: dict[str, Any] = {
        "site": deployment.name,
        "availability_zones": zones,
        "services": services,
        "cold_start": {"work_per_step": 12},
        "addresses": {"lifetime_ms": 1000.0},
    }
    return settings_text(**{**defaults, **tables})


async def start_deployment(
    site: SiteProcesses, deployment: Deployment, **upstream_options: float
) -> list[str]:
    """Start a deployment and wait until every pool has a settled grantor.

    Args:
        site: An empty site.
        deployment: The deployment.
        upstream_options: Options of ``standins.upstream`` with underscores.

    Returns:
        The names of the entry hosts.
    """
    await site.start_platform()
    for zone, count in deployment.upstreams_per_zone.items():
        names = [f"{zone}-{n + 1}" for n in range(count)]
        await site.start_upstreams(
            deployment.service, zone, names, **upstream_options
        )
    await site.publish(deployment_settings(deployment))
    zones = list(deployment.upstreams_per_zone)
    hosts_and_zones = [
        (f"entry-{n + 1}", zones[n % len(zones)])
        for n in range(deployment.host_count)
    ]
    await site.start_hosts(hosts_and_zones)
    await site.wait_revision(1)
    await site.wait_grantors(20_000.0)
    return [name for name, _ in hosts_and_zones]
