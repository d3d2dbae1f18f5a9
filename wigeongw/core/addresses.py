"""Addresses as ``ip:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``; brackets around an IPv6 number are taken off."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
