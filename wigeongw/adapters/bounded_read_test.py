"""Tests that the answers of other programs are read up to a limit."""

import asyncio
from contextlib import AsyncExitStack
import unittest
from unittest import mock

import aiohttp

from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import ScriptedUpstream
from wigeongw.adapters import etcd_store
from wigeongw.adapters import host_list
from wigeongw.adapters.bounded_read import BodyTooLargeError
from wigeongw.adapters.bounded_read import read_body
from wigeongw.adapters.etcd_store import EtcdStore
from wigeongw.adapters.host_list import HttpHostList
from wigeongw.ports.errors import HostListError
from wigeongw.ports.errors import StoreError

LIMIT_BYTES = 1 << 20
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
# The reader may have this much more on the way.
MAX_SENT_BYTES = 16 * LIMIT_BYTES


class BoundedReadTest(unittest.IsolatedAsyncioTestCase):
    """The server answers with white space without end."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.sent_bytes = 0
        self.server = ScriptedUpstream(self.answer)
        await self.server.start(self.stack)
        self.url = f"http://{self.server.address}"
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(HEAD)
        while not writer.is_closing():
            writer.write(PIECE)
            self.sent_bytes += len(PIECE)
            await writer.drain()

    def expect_stopped(self) -> None:
        self.assertLess(self.sent_bytes, MAX_SENT_BYTES)

    async def test_body_is_read_without_end(self) -> None:
        async with self.session.get(self.url) as response:
            with self.assertRaises(BodyTooLargeError):
                await read_body(response, LIMIT_BYTES)
        self.expect_stopped()

    async def test_host_list_is_read_without_end(self) -> None:
        with mock.patch.object(host_list, "MAX_LISTING_BYTES", LIMIT_BYTES):
            with self.assertRaisesRegex(HostListError, "BodyTooLarge"):
                await HttpHostList(self.session, self.url).read()
        self.expect_stopped()

    async def test_answer_of_the_store_is_read_without_end(self) -> None:
        with mock.patch.object(etcd_store, "MAX_REPLY_BYTES", LIMIT_BYTES):
            with self.assertRaisesRegex(StoreError, "BodyTooLarge"):
                await EtcdStore(self.session, self.url).read("/")
        self.expect_stopped()


if __name__ == "__main__":
    unittest.main()
