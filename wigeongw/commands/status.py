"""``wigeongw status``: what an entry host believes."""

import json
from typing import Annotated
from typing import Any
import urllib.error
import urllib.request

import typer

from wigeongw.commands import exits

TIMEOUT_S = 2.0


def status(
    admin: Annotated[
        str, typer.Argument(help="ip:port of the administration API.")
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON as served.")
    ] = False,
) -> None:
    """Show members, revision, pools and upstreams of an entry host.

    Exit codes: 0, or 5 when the entry host does not answer.
    """
    try:
        with urllib.request.urlopen(
            f"http://{admin}/status", timeout=TIMEOUT_S
        ) as response:
            found = json.load(response)
    except (urllib.error.URLError, OSError, ValueError) as error:
        typer.echo(f"{admin}: no status: {error}", err=True)
        raise typer.Exit(exits.UNREACHABLE) from error
    if as_json:
        typer.echo(json.dumps(found, indent=2))
        return
    for line in _lines(found):
        typer.echo(line)


def _lines(found: dict[str, Any]) -> list[str]:
    leaving = ", leaving" if found["leaving"] else ""
    silent = found["store_silent_ms"]
    store = "never heard" if silent is None else f"heard {silent:.0f} ms ago"
    out = ", ".join(found["zones_out"]) or "none"
    lines = [
        f"{found['host']} in {found['availability_zone']}{leaving}: "
        f"revision {found['revision']}, store {store}, zones out: {out}",
        "entry hosts:",
    ]
    for host in found["entry_hosts"]:
        heard = "heard" if host["heard"] else "silent"
        lines.append(
            f"  {host['name']:<16} {host['availability_zone']:<14} "
            f"{host['state']:<8} {heard}"
        )
    for service, left in found["retries_left"].items():
        lines.append(f"{service}: {left} retries left")
    for pool in found["pools"]:
        spent = found["measuring"].get(pool["pool"])
        if spent:
            lines.append(
                f"{pool['pool']}: measuring {spent['used']} of "
                f"{spent['share']} calls this second"
            )
        fenced = " (fence is ours)" if pool["fenced"] else ""
        lines.append(
            f"{pool['pool']}: grantor {pool['grantor'] or 'none'}{fenced}"
        )
        for upstream in pool["upstreams"]:
            used = upstream["in_use"]
            shown = "" if used is None else f", {used} in use"
            lines.append(
                f"  {upstream['name']:<16} {upstream['state']:<8} "
                f"limit {upstream['limit']}{shown}"
            )
    return lines
