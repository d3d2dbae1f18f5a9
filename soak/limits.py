"""Rate limits that upstreams name beside the faults of a run.

They have random choices of their own, so that a seed plays the same faults as
without them.
"""

import asyncio
import random
import time

from soak.run_history import NamedLimit
from soak.site import Site

LIMITS_PER_S = (1.0, 2.5, 6.0)
LIMIT_DURATION_RANGE_S = (2.0, 6.0)


async def name_limits(site: Site, duration_s: float) -> None:
    """Let one upstream after the other name a rate limit and end it."""
    rng = random.Random(f"limits {site.seed}")
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        upstream = rng.choice(site.upstreams)
        upstream.rate_limit_per_s = rng.choice(LIMITS_PER_S)
        limit_per_s = upstream.rate_limit_per_s
        began_at = time.monotonic()
        await asyncio.sleep(rng.uniform(*LIMIT_DURATION_RANGE_S))
        upstream.rate_limit_per_s = None
        site.history.limits.append(
            NamedLimit(
                upstream.instance_id,
                limit_per_s,
                began_at,
                time.monotonic(),
            )
        )
