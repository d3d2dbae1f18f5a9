"""Watches the memory and the descriptors of a process from outside."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import threading

SAMPLE_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TCP_TABLE = pathlib.Path("/proc/net/tcp")
LISTENING = "0A"
MB = 1_000_000


class ProcessWatch:
    """The most that a process has taken while it was watched.

    Attributes:
        pid: the process.
        ports: ports that it listens on. Connections that it has not accepted
            yet have no descriptor and are found by the port.
        peak_bytes: memory and received bytes that were not read, together.
        peak_unread: received bytes that were not read.
        peak_descriptors: open descriptors.
    """

    def __init__(self, pid: int, ports: tuple[int, ...]) -> None:
        self.pid = pid
        self.ports = ports
        self.peak_bytes = 0
        self.peak_unread = 0
        self.peak_descriptors = 0

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sample in a thread of its own while the block runs."""
        stop = threading.Event()

        def run() -> None:
            while not stop.wait(SAMPLE_INTERVAL_S):
                self.sample()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        try:
            yield
        finally:
            stop.set()
            thread.join()

    def sample(self) -> None:
        """Take one sample; a process that has ended has none."""
        folder = pathlib.Path("/proc") / str(self.pid)
        inodes: set[str] = set()
        count = 0
        try:
            descriptors = list((folder / "fd").iterdir())
            memory = (folder / "statm").read_text(encoding="ascii")
        except OSError:
            return
        for descriptor in descriptors:
            with contextlib.suppress(OSError):
                name = os.readlink(descriptor)
                count += 1
                inodes.add(name.removeprefix("socket:[").removesuffix("]"))
        resident = int(memory.split()[1]) * PAGE_BYTES
        unread = self.unread_bytes(inodes)
        self.peak_descriptors = max(self.peak_descriptors, count)
        self.peak_unread = max(self.peak_unread, unread)
        self.peak_bytes = max(self.peak_bytes, resident + unread)

    def unread_bytes(self, inodes: set[str]) -> int:
        """Return the bytes that wait in the sockets of the process."""
        total = 0
        lines = TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]
        for line in lines:
            fields = line.split()
            port = int(fields[1].rpartition(":")[2], 16)
            is_own = fields[9] in inodes or port in self.ports
            if is_own and fields[3] != LISTENING:
                total += int(fields[4].rpartition(":")[2], 16)
        return total

    def figures(self) -> str:
        """Return what was seen, for the output of a test."""
        return (
            f"{self.peak_bytes / MB:.1f} MB, of which unread up to "
            f"{self.peak_unread / MB:.1f} MB, "
            f"{self.peak_descriptors} descriptors"
        )

    def peak_resident(self) -> int:
        """Return the most memory that the system has seen, in bytes."""
        path = pathlib.Path("/proc") / str(self.pid) / "status"
        lines = path.read_text(encoding="utf-8").splitlines()
        peak = next(line for line in lines if line.startswith("VmHWM"))
        return int(peak.split()[1]) * 1024
