"""Finds out whether upstreams end under requests, and tells other hosts.

The decisions are those of ``decisions/crash_suspects.py``. A sound request
costs nothing here: its fingerprint is made only while there is a suspect.
"""

import asyncio
import hashlib

from wigeongw.adapters import notice_codec
from wigeongw.adapters.notice_codec import Notice
from wigeongw.adapters.notice_codec import RequestCleared
from wigeongw.adapters.notice_codec import RequestHeld
from wigeongw.adapters.notice_codec import UpstreamEnded
from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import seconds
from wigeongw.core.site import Target
from wigeongw.decisions import crash_suspects
from wigeongw.decisions.crash_suspects import CrashSuspects
from wigeongw.decisions.crash_suspects import Fingerprint
from wigeongw.decisions.crash_suspects import Ruling
from wigeongw.gateway.notice_exchange import NoticeExchange
from wigeongw.gateway.request import Request
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState

CHECK_TIMEOUT_MS = 250.0
REPEAT_INTERVAL_MS = 1_000.0
# Hosts to which the verdicts are repeated each time.
REPEAT_RECIPIENTS = 2


class CrashWatch:
    """The suspects of this host, and what it does about them.

    Attributes:
        suspects: the evidence and the verdicts.
        checks: running checks whether an upstream still listens, by identity.
        waiting: tasks that record evidence once a check has ended.
        apart: by fingerprint, the upstreams that have a suspect of this host.
    """

    def __init__(self, state: GatewayState, notices: NoticeExchange) -> None:
        self.state = state
        self.notices = notices
        self.suspects = CrashSuspects()
        self.checks: dict[str, asyncio.Task[bool]] = {}
        self.waiting: set[asyncio.Task[None]] = set()
        self.apart: dict[Fingerprint, set[str]] = {}
        notices.handlers[UpstreamEnded] = self._on_ended
        notices.handlers[RequestHeld] = self._on_held
        notices.handlers[RequestCleared] = self._on_cleared

    @property
    def is_idle(self) -> bool:
        """Whether there is no evidence against any request."""
        return not self.suspects.suspects and not self.suspects.held

    def close(self) -> None:
        """Cancel the checks."""
        for task in (*self.checks.values(), *self.waiting):
            task.cancel()

    async def run(self) -> None:
        """Repeat the verdicts to other hosts, until cancelled."""
        while True:
            await asyncio.sleep(seconds(REPEAT_INTERVAL_MS))
            held = self.suspects.held.items()
            notices: list[Notice] = [
                RequestHeld(name, verdict.ends) for name, verdict in held
            ]
            if notices:
                self.notices.tell_some(notices, REPEAT_RECIPIENTS)

    # Requests

    def ruling(self, request: Request) -> Ruling:
        """Decide whether a request may be sent now."""
        if self.is_idle:
            return Ruling.SEND
        name = fingerprint(request)
        if not self.suspects.is_known(name):
            return Ruling.SEND
        is_trial_host = crash_suspects.is_trial_host(
            name, self.state.host_config.name, set(self.state.view.hosts)
        )
        now = self.state.clock.now()
        ruling = self.suspects.ruling(name, is_trial_host, now)
        if ruling is Ruling.TRY:
            self.suspects.begin_trial(name)
            self._log("tried", name, request.request_id)
        if ruling is Ruling.HOLD:
            self.state.metrics.count("requests_held_back_total")
            self._log("refused", name, request.request_id)
        return ruling

    def retry_after_ms(self, request: Request) -> float:
        """Return when a request that is held back may be tried again."""
        now = self.state.clock.now()
        return self.suspects.retry_after_ms(fingerprint(request), now)

    def upstreams_to_avoid(self, request: Request) -> frozenset[str]:
        """Return the upstreams that have another suspect of this host."""
        if not self.apart:
            return frozenset()
        name = fingerprint(request)
        others = (ids for key, ids in self.apart.items() if key != name)
        return frozenset().union(*others)

    def begin_send(self, request: Request, upstream: str) -> None:
        """Note that a suspect goes to an upstream."""
        if not self.is_idle and self.suspects.is_known(fingerprint(request)):
            self.apart.setdefault(fingerprint(request), set()).add(upstream)

    def end_request(self, request: Request) -> None:
        """Note that a request has ended at all upstreams."""
        if self.is_idle and not self.apart:
            return
        name = fingerprint(request)
        self.apart.pop(name, None)
        self.suspects.end_trial(name, self.state.clock.now())

    def record_answer(self, request: Request) -> None:
        """Clear a request that an upstream has answered."""
        if self.is_idle:
            return
        name = fingerprint(request)
        if self.suspects.clear(name):
            self._log("cleared", name, request.request_id)
            self.notices.tell_all(RequestCleared(name))

    def check_upstream(
        self, state: TargetState, request: Request, is_alone: bool
    ) -> None:
        """Find out whether an upstream ended while it had a request.

        Args:
            state: the upstream, whose connection broke before an answer.
            request: the request.
            is_alone: whether this host had no other request there.
        """
        target = state.target
        check = self.checks.get(target.identity)
        if check is None:
            check = asyncio.create_task(self._has_ended(target))
            self.checks[target.identity] = check
        task = asyncio.create_task(
            self._record_when_ended(check, target, request, is_alone)
        )
        self.waiting.add(task)
        task.add_done_callback(self.waiting.discard)

    async def _has_ended(self, target: Target) -> bool:
        """Return whether nothing listens at an upstream's address."""
        address, port = split_address(target.address)
        try:
            async with asyncio.timeout(seconds(CHECK_TIMEOUT_MS)):
                _, writer = await asyncio.open_connection(address, port)
            writer.close()
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        finally:
            self.checks.pop(target.identity, None)
        return False

    async def _record_when_ended(
        self,
        check: asyncio.Task[bool],
        target: Target,
        request: Request,
        is_alone: bool,
    ) -> None:
        if not await asyncio.shield(check):
            return
        name = fingerprint(request)
        key = hash_identity(target.identity)
        self.notices.tell_all(UpstreamEnded(name, key, is_alone))
        self._log("ended", name, request.request_id, target.identity)
        self._record_end(name, key, is_alone, request.request_id)

    def _record_end(
        self, name: Fingerprint, key: int, is_alone: bool, request_id: str
    ) -> None:
        now = self.state.clock.now()
        if self.suspects.record_end(name, key, is_alone, now):
            self._log("held_back", name, request_id)
            ends = self.suspects.held[name].ends
            self.notices.tell_all(RequestHeld(name, ends))

    # Notices of other hosts

    def _on_ended(self, notice: Notice) -> None:
        assert isinstance(notice, UpstreamEnded)
        self._record_end(notice.fingerprint, notice.key, notice.is_alone, "")

    def _on_held(self, notice: Notice) -> None:
        assert isinstance(notice, RequestHeld)
        now = self.state.clock.now()
        if self.suspects.hold(notice.fingerprint, notice.ends, now):
            self._log("told", notice.fingerprint, "")

    def _on_cleared(self, notice: Notice) -> None:
        assert isinstance(notice, RequestCleared)
        self.suspects.clear(notice.fingerprint)

    def _log(
        self,
        event: str,
        name: Fingerprint,
        request_id: str,
        upstream: str | None = None,
    ) -> None:
        self.state.metrics.count("crash_suspects_total", event)
        verdict = self.suspects.held.get(name)
        self.state.log.add(
            "suspect",
            id=request_id or None,
            event=event,
            fingerprint=name.hex(),
            to=upstream,
            ends=verdict.ends if verdict else None,
        )


def fingerprint(request: Request) -> Fingerprint:
    """Return what a request is known by, whatever its id and connection."""
    digest = hashlib.blake2b(digest_size=notice_codec.FINGERPRINT_BYTES)
    host = next((v for n, v in request.headers if n == b"host"), b"")
    for part in (request.method.encode("latin-1"), host, request.target):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()
