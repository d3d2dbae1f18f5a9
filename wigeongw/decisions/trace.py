"""A recorded trace of decisions: one line an event, to be replayed.

Each line holds a call of a holder or grantor, the time, the arguments and
what was decided. Replaying a trace makes the same calls and compares, so a
failure seen in the field becomes a test.
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
from wigeongw.decisions import ways
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor import Takeover
from wigeongw.decisions.grantor import UpstreamView
from wigeongw.settings.model import ColdStartSettings
from wigeongw.settings.model import PermitSettings

VERSION = 1
KIND = "_"
HOLDER = "holder"
GRANTOR = "grantor"
HOLDER_CALLS = frozenset(
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
GRANTOR_CALLS = frozenset(
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
KINDS: dict[str, Any] = {
    kind.__name__: kind
    for kind in (
        messages.Ask,
        messages.Cancel,
        messages.Grant,
        messages.HeldPermit,
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

Write = Callable[[str], None]


class TraceError(WigeongwError):
    """A trace that cannot be read, with the number of its line."""


@dataclass(frozen=True, slots=True)
class Difference:
    """A line whose replay decided something else."""

    line: int
    call: str
    recorded: Any
    replayed: Any


def encode(value: Any) -> Any:
    """Turn a value into what JSON can hold."""
    if isinstance(value, enum.Enum):
        return {KIND: type(value).__name__, "value": value.value}
    if is_dataclass(value):
        held = {f.name: encode(getattr(value, f.name)) for f in fields(value)}
        return {KIND: type(value).__name__, **held}
    if isinstance(value, dict):
        return {KIND: "map", "items": [encode(i) for i in value.items()]}
    if isinstance(value, list | tuple):
        return [encode(item) for item in value]
    return value


def decode(value: Any) -> Any:
    """Turn what JSON held back into a value; lists become tuples."""
    if isinstance(value, list):
        return tuple(decode(item) for item in value)
    if not isinstance(value, dict):
        return value
    held = dict(value)
    name = held.pop(KIND)
    if name == "map":
        return dict(decode(held["items"]))
    return KINDS[name](**{key: decode(item) for key, item in held.items()})


class Traced:
    """Passes calls on to a holder or grantor and writes them down."""

    def __init__(
        self, name: str, machine: Any, calls: frozenset[str], write: Write
    ) -> None:
        self.name = name
        self.machine = machine
        self.calls = calls
        self.write = write

    def __getattr__(self, attribute: str) -> Any:
        found = getattr(self.machine, attribute)
        if attribute not in self.calls:
            return found

        def call(*arguments: Any) -> Any:
            kept = encode([list_of(a) for a in arguments])
            decided = found(*arguments)
            self.write(line(self.name, attribute, kept, encode(decided)))
            return decided

        return call


def list_of(value: Any) -> Any:
    """Take an iterable that can be read only once into a list."""
    return list(value) if isinstance(value, Iterator) else value


def line(name: str, call: str, arguments: Any, decided: Any) -> str:
    """Return one line of a trace."""
    return json.dumps(
        {
            "v": VERSION,
            "machine": name,
            "call": call,
            "args": arguments,
            "out": decided,
        }
    )


def traced_holder(
    service: str, config: sharing.SharingConfig, write: Write
) -> Any:
    """Build a holder whose calls are written down."""
    name = f"{HOLDER}:{service}"
    kept = [
        config.rules,
        config.slots,
        config.queue_most,
        config.incarnation,
    ]
    write(line(name, "new", encode(kept), None))
    return Traced(name, ways.build(config), HOLDER_CALLS, write)


def traced_grantor(
    pool: str,
    rules: PermitSettings,
    cold: ColdStartSettings,
    takeover: Takeover,
    now: float,
    write: Write,
) -> Any:
    """Build a grantor whose calls are written down."""
    name = f"{GRANTOR}:{pool}"
    write(line(name, "new", encode([rules, cold, takeover, now]), None))
    made = Grantor(pool, rules, cold, takeover, now)
    return Traced(name, made, GRANTOR_CALLS, write)


def replay(lines: Iterable[str]) -> Iterator[Difference]:
    """Make a trace's calls again.

    Args:
        lines: of a trace, from its start.

    Yields:
        Each line that was decided otherwise this time.

    Raises:
        TraceError: when a line makes no sense.
    """
    machines: dict[str, Any] = {}
    for number, text in enumerate(lines, start=1):
        try:
            event = json.loads(text)
            if event["v"] != VERSION:
                raise TraceError(f"line {number}: version {event['v']}")
            arguments = decode(event["args"])
            name, call = event["machine"], event["call"]
            if call == "new":
                machines[name] = _build(name, arguments)
                continue
            decided = encode(getattr(machines[name], call)(*arguments))
        except (KeyError, TypeError, ValueError) as error:
            raise TraceError(f"line {number}: {error!r}") from error
        if decided != event["out"]:
            yield Difference(number, call, event["out"], decided)


def _build(name: str, arguments: Any) -> Any:
    kind, _, rest = name.partition(":")
    if kind == GRANTOR:
        return Grantor(rest, *arguments)
    rules, slots, queue_most, incarnation = arguments
    rng = random.Random(0)
    return ways.build(
        sharing.SharingConfig(rules, slots, queue_most, incarnation, rng)
    )
