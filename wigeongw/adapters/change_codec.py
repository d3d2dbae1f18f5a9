"""Changes of the catalog as JSON between hosts."""

from collections.abc import Callable
from dataclasses import asdict
import json
from typing import Any

from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import Route
from wigeongw.core.site import RouteKind
from wigeongw.core.site import Service
from wigeongw.core.site import Share
from wigeongw.core.site import Target
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

Table = dict[str, Any]
Decoder = Callable[[Table], Change]
DECODERS: dict[str, Decoder] = {}


class ChangeCodecError(WigeongwError):
    """What another host sent makes no sense."""


def decoder(kind: type) -> Callable[[Decoder], Decoder]:
    """Register how a kind of change is decoded."""

    def register(function: Decoder) -> Decoder:
        DECODERS[kind.__name__] = function
        return function

    return register


def encode(change: Change) -> Table:
    """Return a change as a table for JSON."""
    return {"kind": type(change).__name__, **asdict(change)}


def decode(table: Table) -> Change:
    """Return the change that a table holds.

    Raises:
        ChangeCodecError: when it makes no sense.
    """
    try:
        fields = dict(table)
        return DECODERS[fields.pop("kind")](fields)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ChangeCodecError(repr(error)) from error


def dumps(document: Table) -> bytes:
    """Return a document's bytes."""
    return json.dumps(document, default=_plain).encode()


@decoder(Target)
def _target(fields: Table) -> Change:
    return Target(**fields)


@decoder(TargetGone)
def _target_gone(fields: Table) -> Change:
    return TargetGone(**fields)


@decoder(Host)
def _host(fields: Table) -> Change:
    return Host(**fields)


@decoder(HostGone)
def _host_gone(fields: Table) -> Change:
    return HostGone(**fields)


@decoder(ZoneEvacuated)
def _zone_evacuated(fields: Table) -> Change:
    return ZoneEvacuated(**fields)


@decoder(ZoneRestored)
def _zone_restored(fields: Table) -> Change:
    return ZoneRestored(**fields)


@decoder(Configuration)
def _configuration(fields: Table) -> Change:
    return Configuration(
        revision=int(fields["revision"]),
        routes=tuple(_route(route) for route in fields["routes"]),
        services={k: Service(**v) for k, v in fields["services"].items()},
        limits=ClientLimits(**fields["limits"]),
    )


def _route(fields: Table) -> Route:
    shares = tuple(Share(**share) for share in fields["shares"])
    kind = RouteKind(fields["kind"])
    return Route(**{**fields, "shares": shares, "kind": kind})


def _plain(value: object) -> object:
    if isinstance(value, RouteKind):
        return value.value
    raise TypeError(f"not for JSON: {value!r}")
