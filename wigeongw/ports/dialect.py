"""Interface to the HTTP headers of a platform's clients and upstreams."""

from dataclasses import dataclass
import enum
from typing import Protocol

from wigeongw.core.site import LoadSample


class ResponseKind(enum.Enum):
    """The kind of request that an upstream responded to."""

    PROBE = "probe"
    REQUEST = "request"
    # A client request that the upstream rejected without running it.
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case.

    Attributes:
        request_id: ID of one attempt of a client, echoed in the response.
        deadline_ms: milliseconds left until the request's deadline.
        expected_instance: identity of the only upstream that may run the
            request.
        signature: proof that the response was made by an upstream.
        not_run: present if the upstream certainly did not run the request.
        instance: identity of the upstream that responds.
        rate_limit: requests per second that the upstream takes from all hosts
            together.
        account: name of the client account, set for the upstream.
        key_scheme: scheme of the Authorization header, in lower case.
        leaving: ``1`` in all responses of an upstream that leaves.
    """

    request_id: str
    deadline_ms: str
    expected_instance: str
    signature: str
    not_run: str
    instance: str
    rate_limit: str
    leaving: str
    account: str
    key_scheme: str


class Dialect(Protocol):
    """The headers of one platform.

    Attributes:
        names: the header names.
    """

    names: HeaderNames

    def load(
        self,
        headers: dict[str, str],
        now: float,
        healthy: bool,
        response_kind: ResponseKind,
    ) -> LoadSample | None:
        """Read the load report in a response's headers.

        Args:
            headers: response headers by name in lower case.
            now: milliseconds on the monotonic clock.
            healthy: whether the response's status counts as healthy.
            response_kind: kind of request that the response is to; only
                responses to probes report the remaining cold time.

        Returns:
            The load sample, or None if the headers hold no valid report.
        """

    def cold_left(self, headers: dict[str, str]) -> float | None:
        """Read how long an upstream that tells no load stays cold.

        Args:
            headers: headers of a response to a probe.

        Returns:
            Milliseconds; None when the headers hold a load or no valid time.
        """
