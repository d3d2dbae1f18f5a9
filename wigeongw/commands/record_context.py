"""Lines of the decision log that tell what a host was in before a request.

A request's own lines name its upstream and its outcome. Why the host saw the
site as it did stands in lines without the request's id: the store came back
from an older copy, an entry could not be read, a task failed. The last of each
kind before the request is its context.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import re

from wigeongw.core.clock import MS_PER_S

# A line of the decision log: a prefix such as "route:" and key=value fields.
# Log collectors may have put text of their own before the prefix.
LINE = re.compile(r"(?:^|\s)([a-z]+): (at=.*)")
# A fault that is over explains nothing that happens later than this.
PAST_FAULT_MS = 60.0 * MS_PER_S
FOREVER_MS = float("inf")


@dataclass(frozen=True, slots=True)
class ContextKind:
    """One kind of line that is context of a request.

    Attributes:
        same_by: field that tells lines of this kind apart; empty if a later
            line always replaces an earlier one.
        lasts_ms: for how long it may explain what follows.
        needs: field without which a line is not of this kind; empty for none.
        is_of_upstream: whether it is context only of requests that were sent
            to the upstream that it names.
    """

    same_by: str = ""
    lasts_ms: float = PAST_FAULT_MS
    needs: str = ""
    is_of_upstream: bool = False


# By prefix and event.
KINDS = {
    ("view", "era"): ContextKind("", FOREVER_MS, "keeps_revision"),
    ("store", "unreadable"): ContextKind("cause", FOREVER_MS),
    ("store", "history_lost"): ContextKind(),
    ("store", "lost"): ContextKind(),
    ("store", "regained"): ContextKind(),
    ("host", "task_failed"): ContextKind("task"),
    ("host", "loop_late"): ContextKind(lasts_ms=5.0 * MS_PER_S),
    ("upstream", "leaving"): ContextKind("to", is_of_upstream=True),
    ("upstream", "pauses"): ContextKind("to", is_of_upstream=True),
    ("limit", "named"): ContextKind("to", FOREVER_MS, is_of_upstream=True),
    ("limit", "changed"): ContextKind("to", FOREVER_MS, is_of_upstream=True),
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the decision log.

    Attributes:
        at_ms: when it was written, milliseconds since 1970.
        prefix: the part of the host that wrote it.
        fields: its fields by name.
        text: the whole line.
    """

    at_ms: float
    prefix: str
    fields: dict[str, str]
    text: str

    @property
    def host(self) -> str:
        """The host that wrote the line; empty if it names none."""
        return self.fields.get("host", "")


def read_line(text: str) -> LogLine | None:
    """Return a line of the decision log; None for any other line."""
    match = LINE.search(text)
    if match is None:
        return None
    pairs = (word.partition("=") for word in match[2].split())
    fields = {key: value for key, _, value in pairs}
    at_ms = _milliseconds(fields["at"])
    return LogLine(at_ms, match[1], fields, text.rstrip("\n"))


def is_context(line: LogLine) -> bool:
    """Return whether a line may be context of later decisions."""
    return _kind(line) is not None


def context_of(
    decisions: Iterable[LogLine], lines: Iterable[LogLine]
) -> list[LogLine]:
    """Return the context of decisions.

    Args:
        decisions: the lines of one request, in any order.
        lines: all lines.

    Returns:
        Of each host with a decision, the last line of each kind before the
        first decision, unless it is too old to explain it. What an upstream
        says of itself may also come while a request is there.
    """
    first_at: dict[str, float] = {}
    last_at: dict[tuple[str, str], float] = {}
    for decision in decisions:
        earliest = first_at.get(decision.host, float("inf"))
        first_at[decision.host] = min(earliest, decision.at_ms)
        sent_to = decision.host, decision.fields.get("to", "")
        last_at[sent_to] = max(last_at.get(sent_to, 0.0), decision.at_ms)
    last: dict[tuple[str, str, str, str], LogLine] = {}
    for line in sorted(lines, key=lambda found: found.at_ms):
        kind = _kind(line)
        if kind is None:
            continue
        explained_at = first_at.get(line.host, float("-inf"))
        if kind.is_of_upstream:
            sent_to = line.host, line.fields.get("to", "")
            explained_at = last_at.get(sent_to, float("-inf"))
        age_ms = explained_at - line.at_ms
        if 0.0 <= age_ms <= kind.lasts_ms:
            what = line.fields.get(kind.same_by, "")
            event = line.fields["event"]
            last[line.host, line.prefix, event, what] = line
    return list(last.values())


def _kind(line: LogLine) -> ContextKind | None:
    """Return the kind of a line; None for a line that is no context."""
    kind = KINDS.get((line.prefix, line.fields.get("event", "")))
    if kind is None or (kind.needs and kind.needs not in line.fields):
        return None
    return kind


def _milliseconds(text: str) -> float:
    """Return a time; 0 for text that is none."""
    try:
        return float(text)
    except ValueError:
        return 0.0
