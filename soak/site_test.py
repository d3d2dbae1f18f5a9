import pathlib
import signal
import subprocess
import sys
import tempfile
from types import SimpleNamespace
import unittest

from soak.site import SoakHost


class SoakHostTest(unittest.TestCase):
    def test_process_that_is_gone_ends_the_soak(self) -> None:
        """Its exit code reaches the event loop a moment later."""
        ended = subprocess.Popen([sys.executable, "-c", ""])
        ended.wait()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        host = SoakHost("entry-0", "amman", pathlib.Path(folder))
        host.process = SimpleNamespace(  # type: ignore[assignment]
            pid=ended.pid, returncode=None
        )
        self.assertEqual(host.memory_bytes(), 0)
        self.assertFalse(host.handles_signal(signal.SIGHUP))


if __name__ == "__main__":
    unittest.main()
