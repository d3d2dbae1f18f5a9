"""The product's own headers towards clients and upstreams."""

from wigeongw.core.site import LoadSample
from wigeongw.ports.dialect import HeaderNames

LOAD = "wigeongw-load"
COLD = "wigeongw-cold-ms"
FIGURES = 4


class OwnDialect:
    """``Wigeongw-Load: running, waiting, slots, slowdown``."""

    names = HeaderNames(
        request_id="wigeongw-request-id",
        deadline_ms="wigeongw-deadline-ms",
        expected_instance="wigeongw-expected-start",
        signature="wigeongw-signature",
        not_run="wigeongw-not-run",
        instance="wigeongw-start",
    )

    def load(
        self,
        headers: dict[str, str],
        now: float,
        healthy: bool,
        probed: bool,
    ) -> LoadSample | None:
        """Read running, waiting, slots and slowdown, and what is cold."""
        try:
            figures = [float(f) for f in headers[LOAD].split(",")]
            cold_ms = float(headers.get(COLD) or 0.0)
        except (KeyError, ValueError):
            return None
        if len(figures) != FIGURES:
            return None
        return LoadSample(
            at_ms=now,
            running=int(figures[0]),
            waiting=int(figures[1]),
            slots=int(figures[2]),
            slowdown=figures[3],
            cold_left_ms=cold_ms if probed else None,
            healthy=healthy,
        )
