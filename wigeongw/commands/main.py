"""The command line of wigeongw."""

import typer

from wigeongw.commands import serve

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def wigeongw() -> None:
    """Spread requests over servers whose load shifts in milliseconds."""


app.command("serve")(serve.serve)


def run() -> None:
    """Run the command line."""
    app()
