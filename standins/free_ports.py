"""TCP ports for the hosts that tests and the soak start.

A test names the port of a host some time before the host listens on it, and
a host that is restarted keeps its ports. Until then nothing else may take
them: no second host of the test, no process of another test run, and no
outgoing connection. A process therefore claims a block of ports for as long
as it runs and gives them out in turn.
"""

import functools
import itertools
import socket

LOOPBACK_IP = "127.0.0.1"
# Below the ports that systems assign to outgoing connections, which start at
# 16,000 on some.
FIRST_PORT = 10_000
END_PORT = 16_000
BLOCK_SIZE = 250


class PortBlock:
    """Ports that no other process that uses this module gives out.

    Attributes:
        claim: Listens on the first port of the block until the process ends.
    """

    def __init__(self, claim: socket.socket) -> None:
        self.claim = claim
        first_port = claim.getsockname()[1]
        self.ports = itertools.cycle(
            range(first_port + 1, first_port + BLOCK_SIZE)
        )

    def take(self) -> int:
        """Return the next port that nothing listens on.

        Raises:
            OSError: if all ports are in use.
        """
        for port in itertools.islice(self.ports, BLOCK_SIZE):
            if is_free(port):
                return port
        raise OSError("all ports of the block are in use")


def is_free(port: int) -> bool:
    """Return whether a host could listen on a port of the loopback address.

    As for a host, connections of an earlier one that have ended and whose
    port the system keeps for a minute (``TIME_WAIT``) do not count.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK_IP, port))
        except OSError:
            return False
        return True


def claim_block() -> PortBlock:
    """Claim a block of ports.

    Raises:
        OSError: if other processes have claimed all blocks.
    """
    for first_port in range(FIRST_PORT, END_PORT, BLOCK_SIZE):
        claim = socket.socket()
        try:
            claim.bind((LOOPBACK_IP, first_port))
            claim.listen()
        except OSError:
            claim.close()
            continue
        return PortBlock(claim)
    raise OSError("no block of ports is left")


@functools.cache
def process_block() -> PortBlock:
    """Return the block of this process."""
    return claim_block()


def free_port() -> int:
    """Return a TCP port that is given out to nobody else."""
    return process_block().take()


def free_address() -> str:
    """Return ``ip:port`` with a port that is given out to nobody else."""
    return f"{LOOPBACK_IP}:{free_port()}"
