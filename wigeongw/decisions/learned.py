"""What a host learns from answers: work a request takes, failures."""

from dataclasses import dataclass

# Each answer moves the mean by this part.
WORK_GAIN = 0.05
FIRST_GUESS = 0.35
# A failure, and a success, move an upstream's risk by this part.
FAILURE_GAIN = 0.35
SUCCESS_GAIN = 0.15
# What was seen of an upstream counts half after this long.
RISK_HALF_MS = 2_500.0


@dataclass(slots=True)
class Work:
    """How long the requests of a route take on a usual upstream.

    Attributes:
        mean_ms: the mean so far.
    """

    mean_ms: float

    def learn(self, took_ms: float, slowdown: float) -> None:
        """Take in one answer, given how slow its upstream was."""
        usual = took_ms / max(1.0, slowdown)
        usual = min(usual, 4.0 * self.mean_ms)
        self.mean_ms += (usual - self.mean_ms) * WORK_GAIN


def first_guess(objective_ms: float) -> Work:
    """Return what to expect of a route that nothing is known of."""
    return Work(objective_ms * FIRST_GUESS)


@dataclass(slots=True)
class Risk:
    """The recent share of failures of an upstream, as seen here."""

    value: float = 0.0
    at_ms: float = 0.0

    def now(self, now: float) -> float:
        """Return the share, faded by the time that has gone."""
        return float(self.value * 0.5 ** ((now - self.at_ms) / RISK_HALF_MS))

    def learn(self, failed: bool, now: float) -> None:
        """Take in one outcome."""
        held = self.now(now)
        if failed:
            held += (1.0 - held) * FAILURE_GAIN
        else:
            held -= held * SUCCESS_GAIN
        self.value = held
        self.at_ms = now
