"""Parses load reports in upstreams' response headers."""

from collections.abc import Mapping
from dataclasses import dataclass
import math

from wigeongw.core.site import LoadSample
from wigeongw.ports.dialect import ResponseKind

# Running, waiting and slots; the slowdown is optional.
MIN_LOAD_VALUES = 3
# Larger values are faults of the upstream.
MAX_REQUESTS = 1_000_000.0
MAX_SLOWDOWN = 1_000_000.0
MAX_COLD_MS = 24 * 3_600_000.0


@dataclass(frozen=True, slots=True)
class LoadFormat:
    """The format of load reports on one platform.

    Attributes:
        load: name of the header with the comma-separated load values.
        cold: name of the header with the remaining milliseconds of a cold
            start.
        usual_slowdown: slowdown value of an upstream at its usual speed.
        includes_answered_request: whether the running requests
            include the request that the response is to.
    """

    load: str
    cold: str
    usual_slowdown: float
    includes_answered_request: bool


def read_load(
    load_format: LoadFormat,
    headers: Mapping[str, str],
    now: float,
    healthy: bool,
    response_kind: ResponseKind,
) -> LoadSample | None:
    """Parse running, waiting, slots, slowdown and the remaining cold time.

    Args:
        load_format: header names and units.
        headers: response headers by name in lower case.
        now: milliseconds on the monotonic clock.
        healthy: whether the response's status counts as healthy.
        response_kind: kind of request that the response is to; the remaining
            cold time is taken only from responses to probes.

    Returns:
        The load sample, or None if the load values are missing or invalid.
    """
    try:
        values = [float(f) for f in headers[load_format.load].split(",")]
        cold_ms = float(headers.get(load_format.cold) or 0.0)
    except (KeyError, ValueError):
        return None
    if len(values) < MIN_LOAD_VALUES:
        return None
    slowdown = values[MIN_LOAD_VALUES:][:1] or [load_format.usual_slowdown]
    if not _are_plausible(values[:MIN_LOAD_VALUES], slowdown[0], cold_ms):
        return None
    is_probe = response_kind is ResponseKind.PROBE
    running = int(values[0])
    if (
        load_format.includes_answered_request
        and response_kind is ResponseKind.REQUEST
    ):
        running = max(0, running - 1)
    return LoadSample(
        at_ms=now,
        running=running,
        waiting=int(values[1]),
        slots=int(values[2]),
        slowdown=slowdown[0] / load_format.usual_slowdown,
        cold_left_ms=max(0.0, cold_ms) if is_probe else None,
        healthy=healthy,
    )


def read_cold_left(
    load_format: LoadFormat, headers: Mapping[str, str]
) -> float | None:
    """Parse the remaining cold time of an upstream that tells no load.

    Returns:
        Milliseconds, 0 when the response names none; None when the response
        tells a load or its cold time is invalid.
    """
    if headers.get(load_format.load):
        return None
    try:
        cold_ms = float(headers.get(load_format.cold) or 0.0)
    except ValueError:
        return None
    if not math.isfinite(cold_ms) or abs(cold_ms) > MAX_COLD_MS:
        return None
    return max(0.0, cold_ms)


def _are_plausible(
    requests: list[float], slowdown: float, cold_ms: float
) -> bool:
    """Return whether the values of a report may be used for decisions."""
    limits = [(value, MAX_REQUESTS) for value in requests]
    # An upstream may go on counting its warm-up below zero.
    limits += [(slowdown, MAX_SLOWDOWN), (abs(cold_ms), MAX_COLD_MS)]
    return all(
        math.isfinite(value) and 0.0 <= value <= highest
        for value, highest in limits
    )
