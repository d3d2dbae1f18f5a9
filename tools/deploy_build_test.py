"""The build for deployment installs what fits the machine that it runs on."""

import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Stands in for the interpreter: names a platform and notes what it installs.
PYTHON = """#!/bin/sh
case "$1 $2" in
    "-m pip") mkdir -p target/deps; echo "$PLATFORM" >>installs ;;
    "-m compileall") ;;
    *) echo "# $PLATFORM" ;;
esac
"""


class DeployBuildTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.root = pathlib.Path(folder)
        (self.root / "deploy").mkdir()
        (self.root / "wigeongw").mkdir()
        shutil.copy(ROOT / "deploy" / "build.sh", self.root / "deploy")
        self.lock = self.root / "deploy" / "requirements.lock"
        self.lock.write_text("a==1\n", encoding="utf-8")
        interpreter = self.root / "bin" / "python3"
        interpreter.parent.mkdir()
        interpreter.write_text(PYTHON, encoding="utf-8")
        interpreter.chmod(0o755)

    def build(self, platform: str) -> None:
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "deploy/build.sh"],
            cwd=self.root,
            env={"PATH": path, "PLATFORM": platform},
            check=True,
        )

    def installs(self) -> list[str]:
        text = (self.root / "installs").read_text(encoding="utf-8")
        return text.split()

    def test_same_machine_installs_once(self) -> None:
        self.build("x86_64")
        self.build("x86_64")
        self.assertEqual(self.installs(), ["x86_64"])

    def test_folder_from_another_kind_of_machine_is_replaced(self) -> None:
        """Its compiled parts were kept, and no host started."""
        self.build("aarch64")
        self.build("x86_64")
        self.assertEqual(self.installs(), ["aarch64", "x86_64"])

    def test_changed_lock_file_is_installed(self) -> None:
        self.build("x86_64")
        self.lock.write_text("a==2\n", encoding="utf-8")
        self.build("x86_64")
        self.assertEqual(self.installs(), ["x86_64", "x86_64"])


if __name__ == "__main__":
    unittest.main()
