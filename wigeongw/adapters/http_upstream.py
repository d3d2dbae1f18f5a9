"""Calls to upstreams over HTTP with aiohttp.

An exchange that did not end well closes its connection, so that a late or
crossed answer can never meet another request.
"""

import asyncio
from collections.abc import AsyncIterator
import json

import aiohttp
from multidict import CIMultiDict

from wigeongw.core.clock import seconds
from wigeongw.core.records import Outcome
from wigeongw.core.records import Upstream
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.retry import IDEMPOTENT_METHODS
from wigeongw.ports.errors import BodyError
from wigeongw.ports.errors import ShedError
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import Call
from wigeongw.ports.upstream import Headers
from wigeongw.ports.upstream import Report

REQUEST_ID = "Wigeongw-Request-Id"
DEADLINE = "Wigeongw-Deadline-Ms"
NOT_RUN = "Wigeongw-Not-Run"
START = "Wigeongw-Start"
LEAVING = "Wigeongw-Leaving"
REPORT_PATH = "/.well-known/wigeongw/load"

CONNECT_TIMEOUT_MS = 500.0
REPORT_HEAD_BYTES = 400
KEEP_ALIVE_MS = 15_000.0
HEADER_MOST_BYTES = 65_536

# The library raises these only before a connection stands, so nothing of the
# request has left. Whatever else goes wrong leaves the outcome unknown.
NO_CONNECTION = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

SHED_STATUS = frozenset((429, 503))


def new_session(keep: bool) -> aiohttp.ClientSession:
    """Build a session for upstreams; the caller closes it.

    Args:
        keep: whether connections are used again. One that is used again may
            be closing at the other end, which leaves the outcome unknown.
    """
    if keep:
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=seconds(KEEP_ALIVE_MS)
        )
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        max_line_size=HEADER_MOST_BYTES,
        max_field_size=HEADER_MOST_BYTES,
    )
    # The library would send idempotent requests again by itself, past the
    # retry budget and without a log line; it offers no public switch.
    session._retry_connection = False
    return session


class HttpReply:
    """The head of an answer, and its body to be read once."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.status = response.status
        self.headers: Headers = tuple(response.headers.items())
        self.start = response.headers.get(START, "")
        self.leaving = LEAVING in response.headers
        self.whole = False

    async def body(self) -> AsyncIterator[bytes]:
        """Read the body."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BodyError(f"answer broke off: {error!r}") from error
        self.whole = True

    async def close(self) -> None:
        """Let go; anything but a whole answer closes the connection."""
        if self.whole:
            self.response.release()
        else:
            self.response.close()


class HttpUpstreams:
    """Calls upstreams; both sessions are owned by the caller.

    Requests that are not idempotent go out on connections of their own, so
    that a stop of the upstream shows as a refused connection, not as an
    exchange with unknown outcome.
    """

    def __init__(
        self, session: aiohttp.ClientSession, fresh: aiohttp.ClientSession
    ) -> None:
        self.session = session
        self.fresh = fresh

    async def call(self, upstream: Upstream, call: Call) -> HttpReply:
        """Send a request and wait for the head of its answer."""
        try:
            async with asyncio.timeout(seconds(call.deadline_ms)):
                response = await self._send(upstream, call)
        except NO_CONNECTION as error:
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
        return self._checked(response, call)

    async def report(
        self, upstream: Upstream, most_bytes: int, timeout_ms: float
    ) -> Report:
        """Ask for a load report."""
        url = f"http://{upstream.address}{REPORT_PATH}"
        timeout = aiohttp.ClientTimeout(total=seconds(timeout_ms))
        room = most_bytes - REPORT_HEAD_BYTES
        try:
            async with self.session.get(url, timeout=timeout) as response:
                raw = await response.content.read(room)
                fields = json.loads(raw)
                return Report(
                    str(fields["start"]),
                    int(fields["in_flight"]),
                    bool(fields["leaving"]),
                    len(raw) + REPORT_HEAD_BYTES,
                )
        except NO_CONNECTION as error:
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
        session = self.session if idempotent else self.fresh
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
    def _checked(response: aiohttp.ClientResponse, call: Call) -> HttpReply:
        """Refuse an answer that is another request's, or says not run."""
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != call.identity:
            response.close()
            raise UpstreamError(
                "answer of another request", Outcome.UNKNOWN, Verdict.FAILED
            )
        if response.status in SHED_STATUS and NOT_RUN in response.headers:
            start = response.headers.get(START, "")
            response.release()
            raise ShedError(start, LEAVING in response.headers)
        return HttpReply(response)
