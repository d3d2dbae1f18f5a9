"""Runs the command line for ``python -m wigeongw``."""

from wigeongw.commands.main import run

if __name__ == "__main__":
    run()
