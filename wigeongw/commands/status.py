"""``wigeongw status``: shows the state that an entry host reports."""

import json
from typing import Annotated
from typing import Any
import urllib.error
import urllib.request

import typer

from wigeongw.commands import exit_codes

TIMEOUT_S = 2.0


def status(
    admin: Annotated[
        str, typer.Argument(help="ip:port of the administration API.")
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON as served.")
    ] = False,
) -> None:
    """Show members, revision, pools and upstreams as seen by an entry host.

    Exit codes: 0 on success, 5 when the entry host does not respond.
    """
    try:
        with urllib.request.urlopen(
            f"http://{admin}/status", timeout=TIMEOUT_S
        ) as response:
            report = json.load(response)
    except (urllib.error.URLError, OSError, ValueError) as error:
        typer.echo(f"{admin}: cannot read the status: {error}", err=True)
        raise typer.Exit(exit_codes.UNREACHABLE) from error
    if as_json:
        typer.echo(json.dumps(report, indent=2))
        return
    for line in _format_report(report):
        typer.echo(line)


def _format_report(report: dict[str, Any]) -> list[str]:
    """Return the lines to print for a decoded status response."""
    leaving = ", leaving" if report["leaving"] else ""
    silent_ms = report["store_silent_ms"]
    store = (
        "no reply" if silent_ms is None else f"reply {silent_ms:.0f} ms ago"
    )
    zones_out = ", ".join(report["zones_out"]) or "none"
    lines = [
        f"{report['host']} in {report['availability_zone']}{leaving}: "
        f"revision {report['revision']}, store {store}, "
        f"zones out: {zones_out}",
        "entry hosts:",
    ]
    for host in report["entry_hosts"]:
        reachability = "reachable" if host["heard"] else "unreachable"
        lines.append(
            f"  {host['name']:<16} {host['availability_zone']:<14} "
            f"{host['state']:<8} {reachability}"
        )
    for service, tokens in report["retries_left"].items():
        lines.append(f"{service}: {tokens} retries left")
    for pool in report["pools"]:
        budget = report["measuring"].get(pool["pool"])
        if budget:
            lines.append(
                f"{pool['pool']}: {budget['used']} of "
                f"{budget['share']} load report calls made this second"
            )
        fence = " (fence held by this host)" if pool["fenced"] else ""
        lines.append(
            f"{pool['pool']}: grantor {pool['grantor'] or 'none'}{fence}"
        )
        for upstream in pool["upstreams"]:
            slots_in_use = upstream["in_use"]
            usage = "" if slots_in_use is None else f", {slots_in_use} in use"
            lines.append(
                f"  {upstream['name']:<16} {upstream['state']:<8} "
                f"limit {upstream['limit']}{usage}"
            )
    return lines
