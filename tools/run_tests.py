"""Runs every ``*_test.py`` and honours KNOWN-RED.txt.

Tests listed there are run and shown like all others, but do not make the run
fail. A listed test that passes is pointed out, so that its entry can go.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FOLDERS = ("wigeongw", "standins", "bench", "tools", "soak")
# No package: its name is a module of the standard library's.
ADAPTER = ROOT / "platform"
PREFIX = "test: "


def known_red() -> set[str]:
    """Return the identities of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    }


def load(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all of them."""
    loader = unittest.TestLoader()
    sys.path.insert(0, str(ADAPTER))
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for folder in FOLDERS:
        suite.addTests(
            loader.discover(
                str(ROOT / folder),
                pattern="*_test.py",
                top_level_dir=str(ROOT),
            )
        )
    suite.addTests(
        loader.discover(
            str(ADAPTER / "clockworks"),
            pattern="*_test.py",
            top_level_dir=str(ADAPTER),
        )
    )
    return suite


def main() -> int:
    """Run the tests and print what counts last.

    Returns:
        0 when every test that is not known red passed.
    """
    runner = unittest.TextTestRunner(verbosity=2, stream=sys.stdout)
    result = runner.run(load(sys.argv[1:]))
    failed = {test.id() for test, _ in result.failures + result.errors}
    known = known_red()
    for name in sorted(failed & known):
        print(f"known red, passed over: {name}")
    for name in sorted(known - failed):
        print(f"no longer red, or not run: {name}")
    unknown = failed - known
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"known red: {len(failed & known)}")
    print(
        f"{passed} passed, {len(unknown)} failed, "
        f"{len(result.skipped)} skipped"
    )
    return 1 if unknown or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
