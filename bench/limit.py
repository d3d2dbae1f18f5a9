"""Lower bound of the latency: one queue that is shared by all slots.

No load balancer that serves requests in order of arrival can do better with
the same arrivals and service times, as the shared queue always knows which
slot is free.
"""

from collections.abc import Iterable
import heapq

from bench.load import Sample


def shared_queue_latencies(
    samples: Iterable[Sample], slots: int
) -> list[float]:
    """Compute the latency of each request in the shared queue.

    Args:
        samples: Requests with the work that each caused at its upstream.
        slots: Number of slots of all upstreams together.

    Returns:
        Latencies in milliseconds, in order of arrival.
    """
    free_at = [0.0] * slots
    latencies: list[float] = []
    for sample in sorted(samples, key=lambda s: s.due_ms):
        started_at = max(sample.due_ms, heapq.heappop(free_at))
        ended_at = started_at + sample.worked_ms
        heapq.heappush(free_at, ended_at)
        latencies.append(ended_at - sample.due_ms)
    return latencies
