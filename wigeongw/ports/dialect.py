"""How upstreams name what they are told and what they say."""

from dataclasses import dataclass
import enum
from typing import Protocol

from wigeongw.core.site import LoadSample


class AnswerTo(enum.Enum):
    """What an upstream's answer is to."""

    PROBE = "probe"
    REQUEST = "request"
    # A request that the upstream turned away.
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of headers in lower case.

    Attributes:
        request_id: of one attempt of a client; echoed in the answer.
        deadline_ms: what is left of a request's time.
        expected_instance: the upstream that alone may run the request.
        signature: proof that an upstream made the answer.
        not_run: present when the upstream certainly did not run it.
        instance: the identity of the upstream that answers.
    """

    request_id: str
    deadline_ms: str
    expected_instance: str
    signature: str
    not_run: str
    instance: str


class Dialect(Protocol):
    """The headers of a platform's clients and upstreams."""

    names: HeaderNames

    def load(
        self,
        headers: dict[str, str],
        now: float,
        healthy: bool,
        answer_to: AnswerTo,
    ) -> LoadSample | None:
        """Read what an answer says of its upstream's load.

        Args:
            headers: by name in lower case.
            now: milliseconds on the monotonic clock.
            healthy: what the answer's status says.
            answer_to: only probes tell what is cold.

        Returns:
            None when the answer says nothing that can be read.
        """
