"""Builds the one executable file from what is installed beside this script.

The runtime packages are copied out of the environment, without those that
only developers need, and packed into a zipapp that unpacks itself into
``SHIV_ROOT`` (about 60 MB, a memory file system will do) when first started.
"""

from importlib import metadata
import pathlib
import re
import shutil
import sys

from shiv import cli

ROOT = pathlib.Path(__file__).resolve().parent.parent
SITE = ROOT / "build" / "site"
OUTPUT = ROOT / "dist" / "wigeongw"
NAME = re.compile(r"^[A-Za-z0-9._-]+")
PACKAGES = ("wigeongw", "standins")


def needed(package: str, found: set[str]) -> set[str]:
    """Collect a package's requirements and theirs, without extras."""
    for requirement in metadata.requires(package) or []:
        if "extra ==" in requirement:
            continue
        match = NAME.match(requirement)
        assert match is not None
        name = match[0].lower().replace("_", "-")
        if name in found:
            continue
        try:
            metadata.distribution(name)
        except metadata.PackageNotFoundError:
            continue
        found.add(name)
        needed(name, found)
    return found


def copy(name: str) -> None:
    """Copy an installed package's files."""
    distribution = metadata.distribution(name)
    for file in distribution.files or []:
        source = pathlib.Path(str(distribution.locate_file(file)))
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = SITE / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def main() -> None:
    """Build the file."""
    shutil.rmtree(SITE, ignore_errors=True)
    SITE.mkdir(parents=True)
    OUTPUT.parent.mkdir(exist_ok=True)
    for name in sorted(needed("wigeongw", set())):
        copy(name)
    for package in PACKAGES:
        shutil.copytree(
            ROOT / package,
            SITE / package,
            ignore=shutil.ignore_patterns("__pycache__", "*_test.py"),
        )
    cli.main(
        [
            "--site-packages",
            str(SITE),
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
