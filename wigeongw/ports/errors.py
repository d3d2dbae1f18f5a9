"""Failures at the edges, as the daemon sees them."""

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Outcome
from wigeongw.decisions.messages import Verdict


class StoreError(WigeongwError):
    """The store could not be reached, or its answer was lost.

    A write may have taken effect all the same.
    """


class HostListError(WigeongwError):
    """The host list could not be read."""


class PeerError(WigeongwError):
    """Another entry host could not be reached or made no sense."""


class UpstreamError(WigeongwError):
    """A request to an upstream failed.

    Attributes:
        outcome: NOT_RUN only when that is certain.
        verdict: what it says of the upstream.
    """

    def __init__(
        self, reason: str, outcome: Outcome, verdict: Verdict
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.outcome = outcome
        self.verdict = verdict


class ShedError(UpstreamError):
    """The upstream said in the defined way that it did not run a request.

    Attributes:
        leaving: whether it also said that it leaves.
    """

    def __init__(self, start: str, leaving: bool) -> None:
        verdict = Verdict.UNUSED if leaving else Verdict.SHED
        super().__init__("turned away", Outcome.NOT_RUN, verdict)
        self.start = start
        self.leaving = leaving


class BodyError(WigeongwError):
    """The body of an answer broke off or did not fit its head."""
