"""Runs ASGI applications on uvicorn inside a running event loop."""

from collections.abc import Generator
import contextlib
import logging
import socket
from typing import Any

import uvicorn

from wigeongw.adapters import receive_window
from wigeongw.adapters.client_protocol import protocol_class
from wigeongw.adapters.client_resources import ClientResources
from wigeongw.core.addresses import split_address

KEEP_ALIVE_TIMEOUT_S = 75
# Connections that wait to be accepted may have sent something already.
LISTEN_BACKLOG = 512


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the application."""

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Args:
        address: ``ip:port``; port 0 picks a free port.

    Raises:
        OSError: if the address is in use or not available.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    receive_window.narrow(sock)
    try:
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> str:
    """Return the ``ip:port`` that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def build(
    app: Any, resources: ClientResources | None = None
) -> EmbeddedServer:
    """Build a server for an ASGI application.

    Args:
        app: the ASGI application.
        resources: what its connections share; the defaults if None.
    """
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL + 1)
    config = uvicorn.Config(
        app,
        http=protocol_class(resources or ClientResources()),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        date_header=False,
        server_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        backlog=LISTEN_BACKLOG,
    )
    return EmbeddedServer(config)
