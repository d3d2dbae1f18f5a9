"""The limit: one shared queue in front of all slots, with perfect knowledge.

No balancer can do better in order of arrival with the same arrivals and the
same service times.
"""

from collections.abc import Iterable
import heapq

from bench.load import Sample


def shared_queue(samples: Iterable[Sample], slots: int) -> list[float]:
    """Work out each request's latency in the shared queue.

    Args:
        samples: arrivals with what each really cost its upstream.
        slots: of all upstreams together.

    Returns:
        Latencies in milliseconds, in order of arrival.
    """
    free = [0.0] * slots
    latencies: list[float] = []
    for sample in sorted(samples, key=lambda s: s.due_ms):
        began = max(sample.due_ms, heapq.heappop(free))
        ended = began + sample.worked_ms
        heapq.heappush(free, ended)
        latencies.append(ended - sample.due_ms)
    return latencies
