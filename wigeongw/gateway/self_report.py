"""What upstreams report of themselves, kept apart from entries of the view.

A report counts from when it is received, for the start that made it. An
entry may be rewritten, or be gone and come back, while a request is at the
upstream; its answer still refers to the same report.
"""

from dataclasses import dataclass

from wigeongw.core.site import RateLimit
from wigeongw.core.site import Target

NEVER = float("-inf")
# Reports of upstreams that are not in the view: those with contents, and empty
# ones, as an answer may still come. The oldest are dropped.
MAX_GONE = 2_000


@dataclass(frozen=True, slots=True)
class UpstreamStart:
    """What tells one start of an upstream from another.

    Attributes:
        born_ms: wall clock time of the start; 0 when not reported.
    """

    identity: str
    address: str
    born_ms: float

    @classmethod
    def of(cls, target: Target) -> "UpstreamStart":
        """Return the start that an entry describes."""
        return cls(target.identity, target.address, target.born_ms)


@dataclass(slots=True, eq=False)
class SelfReport:
    """What one start of an upstream has said of itself to this host.

    All times are in milliseconds on the monotonic clock.

    Attributes:
        is_leaving: whether it said that it leaves; it cannot take that back.
        held_until: end of the pause that it asked this host for.
        rate_limit: the request rate that it accepts; None if it has never
            named a limit.
    """

    is_leaving: bool = False
    held_until: float = NEVER
    rate_limit: RateLimit | None = None

    @property
    def is_empty(self) -> bool:
        """Whether it has said nothing."""
        return (
            not self.is_leaving
            and self.held_until == NEVER
            and self.rate_limit is None
        )

    def learn_rate_limit(self, limit: RateLimit) -> None:
        """Store what the upstream said about its limit, if that is newer."""
        if self.rate_limit is None or limit.at_ms > self.rate_limit.at_ms:
            self.rate_limit = limit


class SelfReports:
    """The reports of all upstreams that this host knows or knew lately.

    Attributes:
        present: those of the upstreams in the view.
        gone: those of others that reported something, oldest first.
        gone_empty: those of others, empty so far, oldest first.
    """

    def __init__(self) -> None:
        self.present: dict[UpstreamStart, SelfReport] = {}
        self.gone: dict[UpstreamStart, SelfReport] = {}
        self.gone_empty: dict[UpstreamStart, SelfReport] = {}

    def add(self, target: Target) -> SelfReport:
        """Return the report of an upstream that is in the view."""
        start = UpstreamStart.of(target)
        for kept in (self.gone, self.gone_empty):
            if start in kept:
                self.present[start] = kept.pop(start)
        return self.present.setdefault(start, SelfReport())

    def remove(self, target: Target) -> None:
        """Keep the report of an upstream that is no longer in the view."""
        start = UpstreamStart.of(target)
        report = self.present.pop(start, None)
        if report is None:
            return
        kept = self.gone_empty if report.is_empty else self.gone
        kept[start] = report
        if len(kept) > MAX_GONE:
            del kept[next(iter(kept))]
