from concurrent.futures import ProcessPoolExecutor
import multiprocessing
import socket
import unittest

from standins.free_ports import BLOCK_SIZE
from standins.free_ports import free_port
from standins.free_ports import is_free
from standins.free_ports import LOOPBACK_IP

DRAWN_COUNT = BLOCK_SIZE - 1


def draw_ports(count: int) -> list[int]:
    return [free_port() for _ in range(count)]


def leave_ended_connection(port: int) -> None:
    """Serve a connection, close it before its client, and stop listening."""
    with socket.create_server((LOOPBACK_IP, port)) as listener:
        with socket.create_connection((LOOPBACK_IP, port)):
            listener.accept()[0].close()


class FreePortsTest(unittest.TestCase):
    def test_two_hosts_named_before_either_listens_get_one_port(self) -> None:
        ports = draw_ports(DRAWN_COUNT - 10)
        self.assertEqual(len(set(ports)), len(ports))

    def test_ports_of_hosts_that_have_ended_are_given_out_twice(self) -> None:
        """The system keeps a port for a minute after its last connection."""
        for port in draw_ports(20):
            leave_ended_connection(port)
        ports = draw_ports(DRAWN_COUNT - 10)
        self.assertEqual(len(set(ports)), len(ports))

    def test_two_test_runs_at_once_get_one_port(self) -> None:
        """Neither listens on a port yet when the other asks."""
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(2, mp_context=context) as pool:
            drawn = [pool.submit(draw_ports, 100) for _ in range(2)]
            drawn_ports = [port for d in drawn for port in d.result()]
        drawn_ports += draw_ports(100)
        self.assertEqual(len(set(drawn_ports)), len(drawn_ports))

    def test_port_in_use_is_given_out(self) -> None:
        with socket.create_server((LOOPBACK_IP, free_port())) as sock:
            port = sock.getsockname()[1]
            self.assertFalse(is_free(port))
            self.assertNotIn(port, draw_ports(DRAWN_COUNT))


if __name__ == "__main__":
    unittest.main()
