"""HTTP client for upstreams, based on aiohttp.

A failed exchange closes its connection, so that a late or misrouted response
is never matched to another request.
"""

import asyncio
from collections.abc import AsyncIterator
import socket

import aiohttp
from aiohttp import AddrInfoType
import logbook
from multidict import CIMultiDict

from wigeongw.adapters import receive_window
from wigeongw.adapters.guarded_session import guarded_session
from wigeongw.adapters.guarded_session import GuardedConnector
from wigeongw.adapters.rate_limit_header import RateLimitHeaderError
from wigeongw.adapters.rate_limit_header import read_rate_limit
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.http_status import is_status
from wigeongw.core.json_text import JsonTextError
from wigeongw.core.json_text import parse_object
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.records import Outcome
from wigeongw.core.records import Upstream
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.retry import IDEMPOTENT_METHODS
from wigeongw.ports.errors import BodyError
from wigeongw.ports.errors import ShedError
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import Call
from wigeongw.ports.upstream import Headers
from wigeongw.ports.upstream import LoadReport

REQUEST_ID = "Wigeongw-Request-Id"
DEADLINE = "Wigeongw-Deadline-Ms"
NOT_RUN = "Wigeongw-Not-Run"
START = "Wigeongw-Start"
LEAVING = "Wigeongw-Leaving"
RATE_LIMIT = "Wigeongw-Rate-Limit"
REPORT_PATH = "/.well-known/wigeongw/load"

CONNECT_TIMEOUT_MS = 500.0
# Allowance for the request and the response headers of a load report.
REPORT_HEADERS_BYTES = 400
KEEP_ALIVE_TIMEOUT_MS = 15_000.0
MAX_HEADER_BYTES = 65_536
# Reading pauses when twice as much of an answer waits.
READ_BUFFER_BYTES = 16 << 10
# An upstream may send an invalid value in each of its responses.
INVALID_VALUE_LOG_INTERVAL_MS = 10_000.0

log = logbook.Logger("upstream")

# aiohttp raises these errors only before a connection is established, so no
# byte of the request was sent. After any other error the outcome is unknown.
CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

SHED_STATUSES = frozenset((429, 503))


def new_session(reuse_connections: bool) -> aiohttp.ClientSession:
    """Build a client session for upstreams; the caller closes it.

    Args:
        reuse_connections: whether connections are reused.
            The upstream may be closing a reused connection when a request
            is sent, which leaves the outcome of the request unknown.
    """
    if reuse_connections:
        connector = GuardedConnector(
            limit=0,
            keepalive_timeout=seconds(KEEP_ALIVE_TIMEOUT_MS),
            socket_factory=_narrow_socket,
        )
    else:
        connector = GuardedConnector(
            limit=0, force_close=True, socket_factory=_narrow_socket
        )
    session = guarded_session(
        connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    # aiohttp would retry idempotent requests on its own, outside the retry
    # budget and without a log line, and has no public option to disable that.
    session._retry_connection = False
    return session


def _narrow_socket(info: AddrInfoType) -> socket.socket:
    """Return a socket that lets little wait of what an upstream sends."""
    family, kind, protocol = info[:3]
    sock = socket.socket(family, kind, protocol)
    receive_window.narrow(sock)
    return sock


class HttpReply:
    """A response whose body can be read once."""

    def __init__(
        self, response: aiohttp.ClientResponse, limit: LimitReport | None
    ) -> None:
        self.response = response
        self.limit = limit
        self.status = response.status
        self.headers: Headers = tuple(response.headers.items())
        self.start = response.headers.get(START, "")
        self.leaving = LEAVING in response.headers
        self.is_complete = False

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BodyError(f"answer broke off: {error!r}") from error
        self.is_complete = True

    async def close(self) -> None:
        """Release the connection; close it if the body was not fully read."""
        if self.is_complete:
            self.response.release()
        else:
            self.response.close()


class HttpUpstreamClient:
    """HTTP client for upstreams; the caller owns both sessions.

    A request that is not idempotent uses a new connection. If the upstream
    has stopped, the connection is then refused and the request certainly did
    not run; on a reused connection its outcome would be unknown.

    Attributes:
        session: session with reused connections.
        unpooled_session: session with a new connection for each request.
        invalid_throttle: bounds the lines about invalid rate limits of each
            upstream.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        unpooled_session: aiohttp.ClientSession,
        clock: Clock,
    ) -> None:
        self.session = session
        self.unpooled_session = unpooled_session
        self.clock = clock
        self.invalid_throttle = LogThrottle(INVALID_VALUE_LOG_INTERVAL_MS)

    async def call(self, upstream: Upstream, call: Call) -> HttpReply:
        """Send a request and wait for the response headers."""
        try:
            async with asyncio.timeout(seconds(call.deadline_ms)):
                response = await self._send(upstream, call)
        except CONNECT_ERRORS as error:
            raise UpstreamError(
                f"no connection: {error!r}",
                Outcome.NOT_RUN,
                Verdict.UNREACHABLE,
            ) from error
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
        ) as error:
            raise UpstreamError(
                f"exchange broke: {error!r}", Outcome.UNKNOWN, Verdict.FAILED
            ) from error
        limit = self._read_limit(response, upstream, call)
        return self._check_response(response, call, limit)

    def _read_limit(
        self,
        response: aiohttp.ClientResponse,
        upstream: Upstream,
        call: Call,
    ) -> LimitReport | None:
        """Read the rate limit; an invalid value is logged and ignored."""
        headers = ((n.lower(), v) for n, v in response.raw_headers)
        try:
            return LimitReport(read_rate_limit(RATE_LIMIT.lower(), headers))
        except RateLimitHeaderError as error:
            if self.invalid_throttle.allows(upstream.name, self.clock.now()):
                log.warning(
                    "Ignoring the rate limit of {} in response to {}: {}.",
                    upstream.name,
                    call.identity,
                    error,
                )
            return None

    async def report(
        self, upstream: Upstream, max_bytes: int, timeout_ms: float
    ) -> LoadReport:
        """Fetch a load report."""
        url = f"http://{upstream.address}{REPORT_PATH}"
        timeout = aiohttp.ClientTimeout(total=seconds(timeout_ms))
        max_body_bytes = max_bytes - REPORT_HEADERS_BYTES
        try:
            async with self.session.get(url, timeout=timeout) as response:
                raw = await response.content.read(max_body_bytes)
                fields = parse_object(raw)
                return LoadReport(
                    str(fields["start"]),
                    int(fields["in_flight"]),
                    bool(fields["leaving"]),
                    len(raw) + REPORT_HEADERS_BYTES,
                )
        except CONNECT_ERRORS as error:
            raise UpstreamError(
                "no connection", Outcome.NOT_RUN, Verdict.UNREACHABLE
            ) from error
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
            OverflowError,
            JsonTextError,
        ) as error:
            raise UpstreamError(
                f"no report: {error!r}", Outcome.UNKNOWN, Verdict.FAILED
            ) from error

    async def _send(
        self, upstream: Upstream, call: Call
    ) -> aiohttp.ClientResponse:
        headers = CIMultiDict(call.headers)
        headers[REQUEST_ID] = call.identity
        headers[DEADLINE] = str(max(1, int(call.deadline_ms)))
        idempotent = call.method in IDEMPOTENT_METHODS
        session = self.session if idempotent else self.unpooled_session
        return await session.request(
            call.method,
            f"http://{upstream.address}{call.target}",
            headers=headers,
            data=call.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=seconds(CONNECT_TIMEOUT_MS)
            ),
        )

    @staticmethod
    def _check_response(
        response: aiohttp.ClientResponse,
        call: Call,
        limit: LimitReport | None,
    ) -> HttpReply:
        """Raise if it is no response to this request or declares not-run."""
        if not is_status(response.status):
            response.close()
            raise UpstreamError(
                f"not an answer: status {response.status:03}",
                Outcome.UNKNOWN,
                Verdict.FAILED,
            )
        echoed_id = response.headers.get(REQUEST_ID)
        if echoed_id is not None and echoed_id != call.identity:
            response.close()
            raise UpstreamError(
                "answer of another request", Outcome.UNKNOWN, Verdict.FAILED
            )
        if response.status in SHED_STATUSES and NOT_RUN in response.headers:
            if echoed_id is None and call.method in IDEMPOTENT_METHODS:
                # The connection may have been used before, and this may be a
                # late copy of the answer to an earlier request.
                response.close()
                raise UpstreamError(
                    "rejected without the request's id",
                    Outcome.UNKNOWN,
                    Verdict.FAILED,
                )
            start = response.headers.get(START, "")
            response.release()
            # An upstream that sheds is in need, whatever it names.
            named = limit if limit and limit.per_s is not None else None
            raise ShedError(start, LEAVING in response.headers, named)
        return HttpReply(response, limit)
