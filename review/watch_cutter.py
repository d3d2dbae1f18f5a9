"""The platform's store as a stand-in that cuts watches that wait."""

import asyncio

from aiohttp import web

from clockworks.store_stand_in import StoreStandIn

# How often the store looks for watches to cut.
CUT_INTERVAL_S = 0.005


class CuttingStore(StoreStandIn):
    """A store that may cut the watches that wait.

    Attributes:
        waiting: the watches that wait.
    """

    def __init__(self) -> None:
        super().__init__()
        self.waiting: dict[int, web.Request] = {}

    async def _handle_watch(self, request: web.Request) -> web.Response:
        self.waiting[id(request)] = request
        try:
            return await super()._handle_watch(request)
        finally:
            self.waiting.pop(id(request), None)

    async def cut_waiting_watches(self, duration_s: float) -> int:
        """Close the connections of watches that wait, for some time.

        The time begins when a watch waits.

        Returns:
            The number of watches that were cut.
        """
        while not self.waiting:  # noqa: ASYNC110
            await asyncio.sleep(CUT_INTERVAL_S)
        loop = asyncio.get_running_loop()
        end_at = loop.time() + duration_s
        cut_count = 0
        while loop.time() < end_at:
            for key, request in list(self.waiting.items()):
                del self.waiting[key]
                if request.transport is not None:
                    request.transport.close()
                    cut_count += 1
            await asyncio.sleep(CUT_INTERVAL_S)
        return cut_count
