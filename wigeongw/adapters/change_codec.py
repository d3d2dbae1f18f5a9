"""Encodes catalog changes as JSON for messages between hosts."""

from collections.abc import Callable
from dataclasses import asdict
import json
from typing import Any

from wigeongw.core import site_checks
from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import ClientAccount
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import RolloutOrder
from wigeongw.core.site import RolloutStatus
from wigeongw.core.site import Route
from wigeongw.core.site import RouteKind
from wigeongw.core.site import Service
from wigeongw.core.site import Share
from wigeongw.core.site import Target
from wigeongw.core.site_checks import InvalidRecordError
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

JsonObject = dict[str, Any]
Decoder = Callable[[JsonObject], Change]
DECODERS: dict[str, Decoder] = {}
DECODE_ERRORS = (
    InvalidRecordError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class ChangeCodecError(WigeongwError):
    """Another host sent an invalid change."""


def register_decoder(kind: type) -> Callable[[Decoder], Decoder]:
    """Return a decorator that registers the decoder of a change class.

    The class name identifies the kind of change in the JSON document.
    """

    def register(function: Decoder) -> Decoder:
        DECODERS[kind.__name__] = function
        return function

    return register


def encode(change: Change) -> JsonObject:
    """Return a change as a JSON object."""
    return {"kind": type(change).__name__, **asdict(change)}


def decode(document: JsonObject) -> Change:
    """Return the change that a JSON object encodes.

    Raises:
        ChangeCodecError: if the object is not a valid change.
    """
    try:
        fields = dict(document)
        return DECODERS[fields.pop("kind")](fields)
    except DECODE_ERRORS as error:
        raise ChangeCodecError(repr(error)) from error


def dumps(document: JsonObject) -> bytes:
    """Serialize a JSON object with encoded changes."""
    return json.dumps(document, default=_encode_enum).encode()


@register_decoder(Target)
def _decode_target(fields: JsonObject) -> Change:
    target = Target(**fields)
    site_checks.check(target)
    return target


@register_decoder(TargetGone)
def _decode_target_gone(fields: JsonObject) -> Change:
    return TargetGone(site_checks.check_name("identity", fields["identity"]))


@register_decoder(Host)
def _decode_host(fields: JsonObject) -> Change:
    host = Host(**fields)
    site_checks.check(host)
    return host


@register_decoder(HostGone)
def _decode_host_gone(fields: JsonObject) -> Change:
    return HostGone(site_checks.check_name("name", fields["name"]))


@register_decoder(ZoneEvacuated)
def _decode_zone_evacuated(fields: JsonObject) -> Change:
    return ZoneEvacuated(_zone(fields))


@register_decoder(ZoneRestored)
def _decode_zone_restored(fields: JsonObject) -> Change:
    return ZoneRestored(_zone(fields))


@register_decoder(RolloutOrder)
def _decode_rollout_order(fields: JsonObject) -> Change:
    order = RolloutOrder(**fields)
    site_checks.check(order)
    return order


@register_decoder(RolloutStatus)
def _decode_rollout_status(fields: JsonObject) -> Change:
    status = RolloutStatus(**fields)
    site_checks.check(status)
    return status


@register_decoder(Configuration)
def _decode_configuration(fields: JsonObject) -> Change:
    configuration = Configuration(
        revision=fields["revision"],
        routes=tuple(_decode_route(route) for route in fields["routes"]),
        services={k: Service(**v) for k, v in fields["services"].items()},
        limits=ClientLimits(**fields["limits"]),
        accounts=tuple(
            _decode_account(account) for account in fields.get("accounts", ())
        ),
    )
    site_checks.check(configuration)
    return configuration


def _zone(fields: JsonObject) -> str:
    return site_checks.check_name("zone", fields["availability_zone"])


def _decode_account(fields: JsonObject) -> ClientAccount:
    digests = tuple(fields["key_digests"])
    return ClientAccount(**{**fields, "key_digests": digests})


def _decode_route(fields: JsonObject) -> Route:
    shares = tuple(Share(**share) for share in fields["shares"])
    kind = RouteKind(fields["kind"])
    return Route(**{**fields, "shares": shares, "kind": kind})


def _encode_enum(value: object) -> object:
    if isinstance(value, RouteKind):
        return value.value
    raise TypeError(f"cannot encode {value!r} as JSON")
