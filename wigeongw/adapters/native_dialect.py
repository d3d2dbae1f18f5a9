"""This project's own headers for clients and upstreams."""

from wigeongw.adapters.load_header import LoadFormat
from wigeongw.adapters.load_header import read_cold_left
from wigeongw.adapters.load_header import read_load
from wigeongw.core.site import LoadSample
from wigeongw.ports.dialect import HeaderNames
from wigeongw.ports.dialect import ResponseKind

LOAD_FORMAT = LoadFormat(
    load="wigeongw-load",
    cold="wigeongw-cold-ms",
    usual_slowdown=1.0,
    includes_answered_request=False,
)


class NativeDialect:
    """The ``Wigeongw-`` headers.

    The load header is ``Wigeongw-Load: running, waiting, slots, slowdown``.
    """

    names = HeaderNames(
        request_id="wigeongw-request-id",
        deadline_ms="wigeongw-deadline-ms",
        expected_instance="wigeongw-expected-start",
        signature="wigeongw-signature",
        not_run="wigeongw-not-run",
        instance="wigeongw-start",
        rate_limit="wigeongw-rate-limit",
        leaving="wigeongw-leaving",
        account="wigeongw-account",
        key_scheme="bearer",
    )

    def load(
        self,
        headers: dict[str, str],
        now: float,
        healthy: bool,
        response_kind: ResponseKind,
    ) -> LoadSample | None:
        """Parse the load report in a response's headers."""
        return read_load(LOAD_FORMAT, headers, now, healthy, response_kind)

    def cold_left(self, headers: dict[str, str]) -> float | None:
        """Parse the cold time of an upstream that tells no load."""
        return read_cold_left(LOAD_FORMAT, headers)
