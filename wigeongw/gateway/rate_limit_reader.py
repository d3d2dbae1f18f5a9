"""Learns from responses which upstreams limit their request rate."""

from wigeongw.adapters.rate_limit_header import RateLimitHeaderError
from wigeongw.adapters.rate_limit_header import read_rate_limit
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.site import RateLimit
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import HeaderNames
from wigeongw.ports.dialect import ResponseKind

# An upstream may send an invalid value in each of its responses.
INVALID_VALUE_LOG_INTERVAL_MS = 10_000.0


class RateLimitReader:
    """Records the rate limits that upstreams name to this host.

    Attributes:
        invalid_throttle: bounds the lines about invalid values of each
            upstream.
    """

    def __init__(self, state: GatewayState, names: HeaderNames) -> None:
        self.state = state
        self.header_name = names.rate_limit
        self.invalid_throttle = LogThrottle(INVALID_VALUE_LOG_INTERVAL_MS)

    def read(
        self,
        target: TargetState,
        reply: BufferedReply,
        response_kind: ResponseKind,
        sent_at: float,
        request_id: str = "",
    ) -> None:
        """Update the rate limit of an upstream from one of its responses.

        An invalid value is logged and changes nothing.

        Args:
            target: the upstream that sent the response.
            reply: the response.
            response_kind: kind of request that the response is to.
            sent_at: when that request was sent, monotonic clock.
            request_id: ID of that request; empty for a probe.
        """
        try:
            per_s = read_rate_limit(self.header_name, reply.headers)
        except RateLimitHeaderError as error:
            self._log_invalid(target, request_id, error)
            return
        before = target.limit_per_s
        if per_s is None and not self._may_end(target, response_kind, sent_at):
            return
        now = self.state.clock.now()
        target.self_report.rate_limit = RateLimit(per_s, now)
        if per_s != before:
            self._log_change(target, before, per_s, response_kind, request_id)

    @staticmethod
    def _may_end(
        target: TargetState, response_kind: ResponseKind, sent_at: float
    ) -> bool:
        """Return whether a response without a limit means that it ended.

        An upstream that rejects a request is in need, whatever it names. The
        head of a response is older than its end, so a limit that was named
        after the request had been sent may be newer than the response.
        """
        return (
            target.rate_limit is not None
            and target.rate_limit.at_ms <= sent_at
            and response_kind is not ResponseKind.REJECTED
        )

    def _log_change(
        self,
        target: TargetState,
        before: float | None,
        after: float | None,
        response_kind: ResponseKind,
        request_id: str,
    ) -> None:
        event = "changed"
        if before is None:
            event = "named"
        elif after is None:
            event = "ended"
        self.state.metrics.count("rate_limit_changes_total", event)
        self.state.log.add(
            "limit",
            id=request_id or None,
            to=target.target.identity,
            event=event,
            before_per_s=before,
            per_s=after,
            response=response_kind.value,
        )

    def _log_invalid(
        self,
        target: TargetState,
        request_id: str,
        error: RateLimitHeaderError,
    ) -> None:
        self.state.metrics.count("rate_limits_invalid_total")
        identity = target.target.identity
        if not self.invalid_throttle.allows(identity, self.state.clock.now()):
            return
        self.state.log.add(
            "limit",
            id=request_id or None,
            to=identity,
            event="invalid",
            cause=str(error),
        )
