"""Checks other hosts while their entries in the store may be out of date."""

import asyncio

from wigeongw.core.addresses import split_address
from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.decisions import host_reachability
from wigeongw.gateway.state import GatewayState

CHECK_INTERVAL_MS = 1_000.0
CONNECT_TIMEOUT_MS = 400.0


class HostChecker:
    """Opens a connection to a few hosts to see whether they exist."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state

    async def run(self) -> None:
        """Check hosts when needed, until cancelled."""
        while True:
            await asyncio.sleep(seconds(CHECK_INTERVAL_MS))
            await self.check()

    async def check(self) -> None:
        """Check hosts once if their entries may be out of date."""
        state = self.state
        if not host_reachability.may_be_stale(
            state.store_absence, state.clock.now()
        ):
            state.hosts_answered = {}
            return
        names = host_reachability.choose(
            state.host_config.name, state.view.hosts
        )
        hosts = [state.view.hosts[name] for name in names]
        answers = await asyncio.gather(*map(self._answers, hosts))
        checked = dict(zip(names, answers, strict=True))
        self._log_changes(checked)
        # This host names itself without an entry as well.
        state.hosts_answered = {state.host_config.name: True, **checked}

    async def _answers(self, host: Host) -> bool:
        """Return whether a host accepts connections of clients."""
        ip, port = split_address(host.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds(CONNECT_TIMEOUT_MS)):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, ip, port
                )
        except (OSError, TimeoutError):
            return False
        transport.abort()
        return True

    def _log_changes(self, checked: dict[str, bool]) -> None:
        """Log the hosts that begin or end to answer."""
        for name, answered in checked.items():
            if answered != self.state.hosts_answered.get(name, True):
                self.state.log.add(
                    "lookup",
                    event="host_answers" if answered else "host_silent",
                    what=name,
                )
