"""Parsing of ``ip:port`` addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into an IP address and a port number.

    Brackets around an IPv6 address are removed.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
