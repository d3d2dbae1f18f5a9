"""Records the calls of holders and grantors and replays them.

A trace has one JSON object per line: the called object, the method, the
arguments, which include the time, and the result. A replay makes the same
calls and compares the results, so a trace of a failure in production can serve
as a test.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import fields
from dataclasses import is_dataclass
import enum
import json
import random
from typing import Any

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream
from wigeongw.decisions import messages
from wigeongw.decisions import sharing
from wigeongw.decisions import strategies
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.settings.schema import ColdStartSettings
from wigeongw.settings.schema import PermitSettings

FORMAT_VERSION = 1
TYPE_KEY = "_"
HOLDER_PREFIX = "holder"
GRANTOR_PREFIX = "grantor"
HOLDER_METHODS = frozenset(
    (
        "set_view",
        "want",
        "abandon",
        "done",
        "heard",
        "tick",
        "give_up_line",
    )
)
GRANTOR_METHODS = frozenset(
    (
        "set_rules",
        "set_upstreams",
        "set_fenced",
        "set_open",
        "ask",
        "cancel",
        "take_back",
        "renew",
        "register",
        "lost",
        "tick",
        "asked",
        "measured",
    )
)
TYPES_BY_NAME: dict[str, Any] = {
    kind.__name__: kind
    for kind in (
        messages.Ask,
        messages.Cancel,
        messages.Grant,
        messages.HeldPermit,
        messages.LimitReport,
        messages.Pressure,
        messages.Register,
        messages.Registered,
        messages.Renew,
        messages.Renewed,
        messages.Return,
        messages.Revoke,
        messages.ToGrantor,
        messages.ToHolder,
        messages.Verdict,
        sharing.Held,
        sharing.PoolView,
        sharing.Refusal,
        sharing.Refuse,
        sharing.Start,
        sharing.Wanted,
        HostState,
        Upstream,
        Takeover,
        UpstreamView,
        ColdStartSettings,
        PermitSettings,
    )
}

WriteLine = Callable[[str], None]


class TraceError(WigeongwError):
    """A line of a trace cannot be read; the message has its number."""


@dataclass(frozen=True, slots=True)
class Difference:
    """A line whose replay gave another result.

    Attributes:
        line: number of the line, from 1.
        call: name of the method.
        recorded: encoded result in the trace.
        replayed: encoded result of the replay.
    """

    line: int
    call: str
    recorded: Any
    replayed: Any


def encode(value: Any) -> Any:
    """Convert a value to JSON types; classes and enums carry their name."""
    if isinstance(value, enum.Enum):
        return {TYPE_KEY: type(value).__name__, "value": value.value}
    if is_dataclass(value):
        members = {
            f.name: encode(getattr(value, f.name)) for f in fields(value)
        }
        return {TYPE_KEY: type(value).__name__, **members}
    if isinstance(value, dict):
        return {TYPE_KEY: "map", "items": [encode(i) for i in value.items()]}
    if isinstance(value, list | tuple):
        return [encode(item) for item in value]
    return value


def decode(value: Any) -> Any:
    """Convert the output of encode back to values; lists become tuples."""
    if isinstance(value, list):
        return tuple(decode(item) for item in value)
    if not isinstance(value, dict):
        return value
    members = dict(value)
    name = members.pop(TYPE_KEY)
    if name == "map":
        return dict(decode(members["items"]))
    return TYPES_BY_NAME[name](
        **{key: decode(item) for key, item in members.items()}
    )


class RecordingProxy:
    """Forwards calls to a holder or grantor and records them.

    Attributes:
        name: name of the wrapped object in the trace.
        wrapped: the holder or grantor.
        methods: names of the methods whose calls are recorded.
        write: writes one line of the trace.
    """

    def __init__(
        self,
        name: str,
        wrapped: Any,
        methods: frozenset[str],
        write: WriteLine,
    ) -> None:
        self.name = name
        self.wrapped = wrapped
        self.methods = methods
        self.write = write

    def __getattr__(self, attribute: str) -> Any:
        member = getattr(self.wrapped, attribute)
        if attribute not in self.methods:
            return member

        def call(*arguments: Any) -> Any:
            encoded = encode([materialize(a) for a in arguments])
            result = member(*arguments)
            self.write(
                format_event(self.name, attribute, encoded, encode(result))
            )
            return result

        return call


def materialize(value: Any) -> Any:
    """Return an iterator's items as a list, and other values unchanged."""
    return list(value) if isinstance(value, Iterator) else value


def format_event(name: str, call: str, arguments: Any, result: Any) -> str:
    """Return one line of a trace.

    Args:
        name: name of the called object.
        call: name of the method, or "new" for its construction.
        arguments: encoded arguments.
        result: encoded result.
    """
    return json.dumps(
        {
            "v": FORMAT_VERSION,
            "machine": name,
            "call": call,
            "args": arguments,
            "out": result,
        }
    )


def traced_holder(
    service: str, config: sharing.SharingConfig, write: WriteLine
) -> Any:
    """Build the configured sharing strategy and record its calls.

    Args:
        service: name of the service.
        config: configuration of the strategy.
        write: writes one line of the trace.
    """
    name = f"{HOLDER_PREFIX}:{service}"
    arguments = [
        config.rules,
        config.slots,
        config.queue_most,
        config.incarnation,
    ]
    write(format_event(name, "new", encode(arguments), None))
    return RecordingProxy(
        name, strategies.build(config), HOLDER_METHODS, write
    )


def traced_grantor(
    pool: str,
    rules: PermitSettings,
    cold_start: ColdStartSettings,
    takeover: Takeover,
    now: float,
    write: WriteLine,
) -> Any:
    """Build a grantor and record its calls."""
    name = f"{GRANTOR_PREFIX}:{pool}"
    write(
        format_event(
            name, "new", encode([rules, cold_start, takeover, now]), None
        )
    )
    built = Grantor(pool, rules, cold_start, takeover, now)
    return RecordingProxy(name, built, GRANTOR_METHODS, write)


def replay(lines: Iterable[str]) -> Iterator[Difference]:
    """Replay a trace.

    Args:
        lines: lines of a trace, from its start.

    Yields:
        The difference for each line whose result is not the recorded one.

    Raises:
        TraceError: if a line cannot be decoded or replayed.
    """
    machines: dict[str, Any] = {}
    for number, record in enumerate(lines, start=1):
        try:
            event = json.loads(record)
            if event["v"] != FORMAT_VERSION:
                raise TraceError(
                    f"line {number}: trace version {event['v']}, expected "
                    f"{FORMAT_VERSION}"
                )
            arguments = decode(event["args"])
            name, call = event["machine"], event["call"]
            if call == "new":
                machines[name] = _new_machine(name, arguments)
                continue
            result = encode(getattr(machines[name], call)(*arguments))
        except (KeyError, TypeError, ValueError) as error:
            raise TraceError(
                f"line {number}: cannot be replayed: {error!r}"
            ) from error
        if result != event["out"]:
            yield Difference(number, call, event["out"], result)


def _new_machine(name: str, arguments: Any) -> Any:
    kind, _, rest = name.partition(":")
    if kind == GRANTOR_PREFIX:
        return Grantor(rest, *arguments)
    rules, slots, queue_most, incarnation = arguments
    rng = random.Random(0)
    return strategies.build(
        sharing.SharingConfig(rules, slots, queue_most, incarnation, rng)
    )
