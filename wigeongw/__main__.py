"""Lets ``python -m wigeongw`` run the command line."""

from wigeongw.commands.main import run

if __name__ == "__main__":
    run()
