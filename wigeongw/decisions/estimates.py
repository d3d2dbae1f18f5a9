"""Estimates that a host derives from responses: service time, failure rate."""

from dataclasses import dataclass

# Weight of one response in the mean service time.
WORK_EWMA_WEIGHT = 0.05
# Initial service time as a fraction of the route's latency objective.
INITIAL_WORK_FRACTION = 0.35
# Weight of one failure, and of one success, in an upstream's failure rate.
FAILURE_EWMA_WEIGHT = 0.35
SUCCESS_EWMA_WEIGHT = 0.15
# A failure rate without new results is halved in this time.
RISK_HALF_LIFE_MS = 2_500.0


@dataclass(slots=True)
class ServiceTimeEstimate:
    """Service time of a route's requests on an upstream of usual speed.

    Attributes:
        mean_ms: moving average of the service time.
    """

    mean_ms: float

    def learn(self, took_ms: float, slowdown: float) -> None:
        """Update the mean with one response.

        Args:
            took_ms: time from sending the request to its response. After
                division by the slowdown it is capped at 4.0 times the mean.
            slowdown: how many times slower than usual the upstream was;
                values below 1 count as 1.
        """
        usual = took_ms / max(1.0, slowdown)
        usual = min(usual, 4.0 * self.mean_ms)
        self.mean_ms += (usual - self.mean_ms) * WORK_EWMA_WEIGHT


def initial_estimate(objective_ms: float) -> ServiceTimeEstimate:
    """Return the estimate for a route without responses so far.

    Args:
        objective_ms: latency objective of the route.
    """
    return ServiceTimeEstimate(objective_ms * INITIAL_WORK_FRACTION)


@dataclass(slots=True)
class FailureRate:
    """Recent failure rate of an upstream, as observed by this host.

    Attributes:
        value: failure rate at the last update, from 0 to 1.
        at_ms: time of the last update, monotonic milliseconds.
    """

    value: float = 0.0
    at_ms: float = 0.0

    def decayed(self, now: float) -> float:
        """Return the failure rate, decayed since the last update."""
        return float(
            self.value * 0.5 ** ((now - self.at_ms) / RISK_HALF_LIFE_MS)
        )

    def learn(self, failed: bool, now: float) -> None:
        """Update the failure rate with one result."""
        rate = self.decayed(now)
        if failed:
            rate += (1.0 - rate) * FAILURE_EWMA_WEIGHT
        else:
            rate -= rate * SUCCESS_EWMA_WEIGHT
        self.value = rate
        self.at_ms = now
