"""Builds a single executable file from the current Python environment.

The runtime dependencies are copied from the environment, without those that
only development needs, and packed into a zipapp. When it is first started,
the zipapp extracts itself into ``SHIV_ROOT``; this needs about 60 MB, for
which an in-memory file system is sufficient.
"""

from importlib import metadata
import pathlib
import re
import shutil
import sys

from shiv import cli

ROOT = pathlib.Path(__file__).resolve().parent.parent
STAGING_FOLDER = ROOT / "build" / "site"
OUTPUT = ROOT / "dist" / "wigeongw"
REQUIREMENT_NAME = re.compile(r"^[A-Za-z0-9._-]+")
SOURCE_PACKAGES = ("wigeongw", "standins")


def collect_requirements(package: str, collected: set[str]) -> set[str]:
    """Collect the direct and indirect requirements of a package.

    Requirements of extras and packages that are not installed are left out.

    Args:
        package: Name of the package.
        collected: Names collected so far; new ones are added in place.

    Returns:
        The set ``collected``.
    """
    for requirement in metadata.requires(package) or []:
        if "extra ==" in requirement:
            continue
        match = REQUIREMENT_NAME.match(requirement)
        assert match is not None
        name = match[0].lower().replace("_", "-")
        if name in collected:
            continue
        try:
            metadata.distribution(name)
        except metadata.PackageNotFoundError:
            continue
        collected.add(name)
        collect_requirements(name, collected)
    return collected


def copy_distribution(name: str) -> None:
    """Copy the files of an installed package to the staging folder.

    Files outside the environment's package folder and caches are left out.
    """
    distribution = metadata.distribution(name)
    for file in distribution.files or []:
        source = pathlib.Path(str(distribution.locate_file(file)))
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = STAGING_FOLDER / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def main() -> None:
    """Build the executable file and print its size."""
    shutil.rmtree(STAGING_FOLDER, ignore_errors=True)
    STAGING_FOLDER.mkdir(parents=True)
    OUTPUT.parent.mkdir(exist_ok=True)
    for name in sorted(collect_requirements("wigeongw", set())):
        copy_distribution(name)
    for package in SOURCE_PACKAGES:
        shutil.copytree(
            ROOT / package,
            STAGING_FOLDER / package,
            ignore=shutil.ignore_patterns("__pycache__", "*_test.py"),
        )
    cli.main(
        [
            "--site-packages",
            str(STAGING_FOLDER),
            "--compressed",
            "-p",
            "/usr/bin/env python3.11",
            "-e",
            "wigeongw.commands.main:run",
            "-o",
            str(OUTPUT),
        ],
        standalone_mode=False,
    )
    print(f"{OUTPUT}: {OUTPUT.stat().st_size / 1e6:.1f} MB", file=sys.stderr)


if __name__ == "__main__":
    main()
