"""Learns from responses which upstreams leave or want a pause."""

from wigeongw.adapters import notice_codec
from wigeongw.adapters.notice_codec import Notice
from wigeongw.adapters.notice_codec import UpstreamLeaving
from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.adapters.retry_after_header import read_retry_after
from wigeongw.adapters.retry_after_header import RetryAfterError
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.gateway.notice_exchange import NoticeExchange
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import HeaderNames

HTTP_SERVICE_UNAVAILABLE = 503
LEAVING_VALUE = "1"
# Hosts return to an upstream spread over this share of its pause.
PAUSE_SPREAD_SHARE = 0.1
MAX_PAUSE_SPREAD_MS = 1_000.0
INVALID_VALUE_LOG_INTERVAL_MS = 10_000.0


class AvailabilityReader:
    """Records what upstreams say of their own availability.

    Attributes:
        invalid_throttle: bounds the lines about invalid values of each
            upstream.
    """

    def __init__(
        self, state: GatewayState, names: HeaderNames, notices: NoticeExchange
    ) -> None:
        self.state = state
        self.leaving_header = names.leaving
        self.notices = notices
        self.invalid_throttle = LogThrottle(INVALID_VALUE_LOG_INTERVAL_MS)
        notices.handlers[UpstreamLeaving] = self._on_notice

    def read(
        self, target: TargetState, reply: BufferedReply, request_id: str = ""
    ) -> None:
        """Read the headers of a response to a request or a probe.

        Invalid values are logged and change nothing.
        """
        value = reply.fields.get(self.leaving_header)
        if value == LEAVING_VALUE:
            self._record_leaving(target, request_id)
        elif value is not None:
            self._log_invalid(target, request_id, f"leaving: {value[:32]!r}")
        if reply.status == HTTP_SERVICE_UNAVAILABLE:
            self._read_pause(target, reply, request_id)

    def _record_leaving(self, target: TargetState, request_id: str) -> None:
        if not self.state.mark_leaving(target):
            return
        upstream = target.target
        self._log_leaving(target, "own", request_id)
        self.notices.tell_all(
            UpstreamLeaving(
                hash_identity(upstream.identity),
                notice_codec.born_key(upstream.born_ms),
            )
        )

    def _on_notice(self, notice: Notice) -> None:
        """Apply what another host heard, if it is of the same start."""
        assert isinstance(notice, UpstreamLeaving)
        target = self.state.targets_by_key.get(notice.key)
        if target is None:
            return
        if notice_codec.born_key(target.target.born_ms) != notice.born:
            return
        if self.state.mark_leaving(target):
            self._log_leaving(target, "told", "")

    def _log_leaving(
        self, target: TargetState, source: str, request_id: str
    ) -> None:
        self.state.metrics.count("upstreams_leaving_total", source)
        self.state.log.add(
            "upstream",
            id=request_id or None,
            to=target.target.identity,
            event="leaving",
            source=source,
        )

    def _read_pause(
        self, target: TargetState, reply: BufferedReply, request_id: str
    ) -> None:
        clock = self.state.clock
        try:
            pause_ms = read_retry_after(reply.headers, clock.wall())
        except RetryAfterError as error:
            self._log_invalid(target, request_id, f"retry-after: {error}")
            return
        if not pause_ms:
            return
        spread_ms = min(MAX_PAUSE_SPREAD_MS, PAUSE_SPREAD_SHARE * pause_ms)
        held_until = clock.now() + pause_ms
        held_until += spread_ms * self.state.rng.random()
        report = target.self_report
        report.held_until = max(report.held_until, held_until)
        self.state.metrics.count("upstream_pauses_total")
        self.state.log.add(
            "upstream",
            id=request_id or None,
            to=target.target.identity,
            event="pauses",
            pause_ms=pause_ms,
        )

    def _log_invalid(
        self, target: TargetState, request_id: str, cause: str
    ) -> None:
        identity = target.target.identity
        if not self.invalid_throttle.allows(identity, self.state.clock.now()):
            return
        self.state.log.add(
            "upstream",
            id=request_id or None,
            to=identity,
            event="invalid",
            cause=cause,
        )
