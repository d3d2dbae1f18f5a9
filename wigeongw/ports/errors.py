"""Errors that adapters raise and the daemon handles."""

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Outcome
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Verdict


class StoreError(WigeongwError):
    """The store could not be reached, or its response was lost.

    A write may still have taken effect.
    """


class HostListError(WigeongwError):
    """The host list could not be read or is invalid."""


class PeerError(WigeongwError):
    """Another entry host could not be reached or sent an invalid message."""


class UpstreamError(WigeongwError):
    """A request to an upstream failed.

    Attributes:
        reason: description that responses to clients may contain.
        outcome: whether the request ran; NOT_RUN only if that is certain.
        verdict: what the failure says about the upstream.
    """

    def __init__(
        self, reason: str, outcome: Outcome, verdict: Verdict
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.outcome = outcome
        self.verdict = verdict


class ShedError(UpstreamError):
    """The upstream declared with the not-run header that it shed a request.

    Attributes:
        start: identity of the upstream's start; empty if not reported.
        leaving: whether the upstream also declared that it is leaving.
        limit: the rate limit that it named; None if it named none.
    """

    def __init__(
        self, start: str, leaving: bool, limit: LimitReport | None = None
    ) -> None:
        verdict = Verdict.UNUSED if leaving else Verdict.SHED
        super().__init__("turned away", Outcome.NOT_RUN, verdict)
        self.start = start
        self.leaving = leaving
        self.limit = limit


class BodyError(WigeongwError):
    """A response body was truncated or did not match its headers."""
