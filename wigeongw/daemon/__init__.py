"""The entry host daemon: sockets and background tasks around the pure logic
in ``wigeongw.decisions``.
"""
