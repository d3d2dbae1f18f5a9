"""Registers all commands with the command line application."""

import typer

from wigeongw.commands import demo
from wigeongw.commands import model
from wigeongw.commands import record
from wigeongw.commands import replay
from wigeongw.commands import serve
from wigeongw.commands import settings
from wigeongw.commands import status

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def wigeongw() -> None:
    """Balance load over servers whose load changes within milliseconds."""


app.command("serve")(serve.serve)
app.command("demo")(demo.demo)
app.command("status")(status.status)
app.command("record")(record.record)
app.command("replay")(replay.replay)
app.command("model")(model.model)
app.add_typer(
    settings.app, name="settings", help="Check and publish settings."
)


def run() -> None:
    """Run the command line."""
    app()
