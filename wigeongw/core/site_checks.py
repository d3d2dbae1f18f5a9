"""Checks the records of a site that were decoded from others' bytes.

A record that passes can be used without a further check: its addresses are
ones that a socket takes, its names fit into headers and log lines, and its
figures are finite and of a plausible size. One that does not pass costs only
itself.
"""

from collections.abc import Callable
import functools
import ipaddress
import math
import reprlib
from typing import TypeVar

from wigeongw.core.addresses import split_address
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

T = TypeVar("T")

MAX_NAME_CHARS = 1_000
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
MAX_PHASE = 5
MAX_COUNT = 1 << 53
# A year; durations beyond it are taken for errors.
MAX_DURATION_MS = 366 * 24 * 3_600_000.0
MAX_RATE_PER_S = 1e9


class InvalidRecordError(WigeongwError):
    """A field of a record cannot be used."""


def check_name(field: str, value: object) -> str:
    """Return a name after checking that it is a printable text.

    Raises:
        InvalidRecordError: when it is not. So do all checks of this module.
    """
    if not isinstance(value, str):
        raise _invalid(field, value, "a text")
    if len(value) > MAX_NAME_CHARS or not value.isprintable():
        raise _invalid(field, value, "a printable text")
    return value


def check_token(field: str, value: object) -> str:
    """Return a text that can stand in a request line or a header."""
    name = check_name(field, value)
    if not name or not name.isascii() or " " in name:
        raise _invalid(field, value, "ASCII characters without spaces")
    return name


def check_address(field: str, value: object) -> str:
    """Return an ``ip:port`` that a socket takes."""
    address = check_token(field, value)
    ip, separator, port = address.rpartition(":")
    is_number = port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not separator or not is_number or not 0 < int(port) <= MAX_PORT:
        raise _invalid(field, value, "ip:port")
    try:
        parsed = ipaddress.ip_address(split_address(address)[0])
    except ValueError as error:
        raise _invalid(field, value, "an IP address and a port") from error
    if parsed.is_unspecified or parsed.is_multicast:
        raise _invalid(field, value, "an address to connect to")
    return f"{ip}:{port}"


def check_integer(
    field: str, value: object, lowest: int = 0, highest: int = MAX_COUNT
) -> int:
    """Return a whole number between two bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise _invalid(field, value, "an integer")
    if not lowest <= value <= highest:
        raise _invalid(field, value, f"{lowest} to {highest}")
    return value


def check_number(field: str, value: object, highest: float) -> float:
    """Return a finite number from 0 to a bound."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _invalid(field, value, "a number")
    if not 0 <= value <= highest or not math.isfinite(value):
        raise _invalid(field, value, f"0 to {highest:g}")
    return float(value)


def check_flag(field: str, value: object) -> bool:
    """Return a boolean."""
    if not isinstance(value, bool):
        raise _invalid(field, value, "true or false")
    return value


@functools.singledispatch
def check(record: object) -> None:
    """Check all fields of a target, a host or a configuration."""
    raise _invalid("record", record, "a record of a site")


@check.register
def _(record: Target) -> None:
    check_token("identity", record.identity)
    check_name("service", record.service)
    check_address("address", record.address)
    check_name("zone", record.availability_zone)
    check_integer("slots", record.slots, highest=MAX_SLOTS)
    check_flag("draining", record.draining)
    check_number("cold_left_ms", record.cold_left_ms, MAX_DURATION_MS)
    check_number("born_ms", record.born_ms, MAX_COUNT)
    check_name("version", record.version)


@check.register
def _(record: RolloutOrder) -> None:
    check_name("service", record.service)
    check_name("version", record.version)
    check_number("duration_ms", record.duration_ms, MAX_DURATION_MS)


@check.register
def _(record: RolloutStatus) -> None:
    check_name("service", record.service)
    check_name("version", record.version)
    check_integer("phase", record.phase, highest=MAX_PHASE)
    check_number("ordered_at_ms", record.ordered_at_ms, MAX_COUNT)


@check.register
def _(record: Host) -> None:
    check_token("name", record.name)
    check_address("address", record.address)
    check_name("zone", record.availability_zone)
    if record.peer != "":
        check_address("peer", record.peer)
    check_integer("lease", record.lease)


@check.register
def _(record: Configuration) -> None:
    check_integer("revision", record.revision)
    for route in record.routes:
        _check_part("route", route.name, _check_route, route)
    for name, service in record.services.items():
        _check_part("service", name, _check_service, service)
    _check_limits(record.limits)
    for account in record.accounts:
        _check_part("account", account.name, _check_account, account)


def _check_part(
    kind: str, name: object, check_record: Callable[[T], None], record: T
) -> None:
    """Check a part of a configuration; the error names the part."""
    try:
        check_record(record)
    except InvalidRecordError as error:
        raise InvalidRecordError(
            f"{kind} {reprlib.repr(name)}: {error}"
        ) from error


def _check_route(route: Route) -> None:
    check_name("name", route.name)
    check_name("host", route.host)
    check_name("prefix", route.prefix)
    if not isinstance(route.kind, RouteKind):
        raise _invalid("kind", route.kind, "a kind of route")
    for share in route.shares:
        _check_share(share)
    check_number("timeout", route.timeout_ms, MAX_DURATION_MS)
    check_number("objective", route.objective_ms, MAX_DURATION_MS)
    check_integer("attempts", route.attempts)
    check_integer("priority", route.priority)
    check_flag("public", route.is_public)


def _check_share(share: Share) -> None:
    check_name("service", share.service)
    check_number("weight", share.weight, MAX_RATE_PER_S)


def _check_service(service: Service) -> None:
    check_name("name", service.name)
    check_token("health_path", service.health_path)
    check_integer("connections", service.connections_most)
    check_number("cold_ms", service.cold_ms, MAX_DURATION_MS)
    check_number("cold_per_s", service.cold_per_s, MAX_RATE_PER_S)


def _check_account(account: ClientAccount) -> None:
    check_token("name", account.name)
    for digest in account.key_digests:
        check_token("key", digest)
    check_integer("priority", account.priority)
    check_number("per_s", account.per_s, MAX_RATE_PER_S)
    check_number("burst", account.burst, MAX_RATE_PER_S)


def _check_limits(limits: ClientLimits) -> None:
    check_integer("head_bytes", limits.head_bytes)
    check_integer("body_bytes", limits.body_bytes)
    check_number("head_ms", limits.head_ms, MAX_DURATION_MS)
    check_number("idle_ms", limits.idle_ms, MAX_DURATION_MS)


def _invalid(field: str, value: object, expected: str) -> InvalidRecordError:
    return InvalidRecordError(
        f"{field}: expected {expected}, not {reprlib.repr(value)}"
    )
