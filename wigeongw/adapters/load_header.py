"""Reads what upstreams say of their load from a header of figures."""

from collections.abc import Mapping
from dataclasses import dataclass

from wigeongw.core.site import LoadSample
from wigeongw.ports.dialect import AnswerTo

# Running, waiting and slots; the slowdown may be left out.
FIGURES_LEAST = 3


@dataclass(frozen=True, slots=True)
class LoadFormat:
    """How a platform's upstreams tell their load.

    Attributes:
        load: the header with the figures.
        cold: the header with the milliseconds that a cold start still takes.
        usual: the slowdown figure of an upstream at its usual speed.
        counts_answered: running counts the request that is answered, too.
    """

    load: str
    cold: str
    usual: float
    counts_answered: bool


def read_load(
    form: LoadFormat,
    headers: Mapping[str, str],
    now: float,
    healthy: bool,
    answer_to: AnswerTo,
) -> LoadSample | None:
    """Read running, waiting, slots and slowdown, and what is cold.

    Args:
        form: names and units.
        headers: by name in lower case.
        now: milliseconds on the monotonic clock.
        healthy: what the answer's status says.
        answer_to: only probes tell what is cold.

    Returns:
        None when the figures are missing or make no sense.
    """
    try:
        figures = [float(f) for f in headers[form.load].split(",")]
        cold_ms = float(headers.get(form.cold) or 0.0)
    except (KeyError, ValueError):
        return None
    if len(figures) < FIGURES_LEAST:
        return None
    running = int(figures[0])
    if form.counts_answered and answer_to is AnswerTo.REQUEST:
        running = max(0, running - 1)
    slowdown = figures[FIGURES_LEAST:]
    return LoadSample(
        at_ms=now,
        running=running,
        waiting=int(figures[1]),
        slots=int(figures[2]),
        slowdown=slowdown[0] / form.usual if slowdown else 1.0,
        cold_left_ms=cold_ms if answer_to is AnswerTo.PROBE else None,
        healthy=healthy,
    )
