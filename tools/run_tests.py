"""Runs every ``*_test.py`` and allows the failures listed in KNOWN-RED.txt.

Listed tests run and are reported like all others, but their failure does not
fail the run. A listed test that passes is reported, so that its entry can be
removed.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
TEST_FOLDERS = ("wigeongw", "standins", "bench", "tools", "soak")
# Not a package, as the standard library has a module of the same name.
ADAPTER_FOLDER = ROOT / "platform"
TEST_PREFIX = "test: "


def read_known_red() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def build_suite(names: list[str]) -> unittest.TestSuite:
    """Load tests.

    Args:
        names: Dotted names of modules, classes or methods; all tests if
            empty.
    """
    loader = unittest.TestLoader()
    sys.path.insert(0, str(ADAPTER_FOLDER))
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for folder in TEST_FOLDERS:
        suite.addTests(
            loader.discover(
                str(ROOT / folder),
                pattern="*_test.py",
                top_level_dir=str(ROOT),
            )
        )
    suite.addTests(
        loader.discover(
            str(ADAPTER_FOLDER / "clockworks"),
            pattern="*_test.py",
            top_level_dir=str(ADAPTER_FOLDER),
        )
    )
    return suite


def failed_tests(result: unittest.TestResult) -> set[str]:
    """Return the ids of the tests that failed.

    A test counts once, however many of its subtests failed.
    """
    failed = (test for test, _ in result.failures + result.errors)
    return {getattr(test, "test_case", test).id() for test in failed}


def main() -> int:
    """Run the tests that the command line names and print a summary last.

    Returns:
        The exit code: 0 if at least one test ran and all failures are listed
        in KNOWN-RED.txt, else 1.
    """
    runner = unittest.TextTestRunner(verbosity=2, stream=sys.stdout)
    result = runner.run(build_suite(sys.argv[1:]))
    failed = failed_tests(result)
    known_red = read_known_red()
    for name in sorted(failed & known_red):
        print(f"known red, passed over: {name}")
    for name in sorted(known_red - failed):
        print(f"no longer red, or not run: {name}")
    new_failures = failed - known_red
    passed_count = result.testsRun - len(failed) - len(result.skipped)
    print(f"known red: {len(failed & known_red)}")
    print(
        f"{passed_count} passed, {len(new_failures)} failed, "
        f"{len(result.skipped)} skipped"
    )
    return 1 if new_failures or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
