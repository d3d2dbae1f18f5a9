"""Turns of client accounts that wait for the same slots.

Answers an account that sends many times its usual: it waits behind its own
requests, and the others find their turn (start-time fair queueing).
"""

# Requests of an account in one round. Within a round the earliest deadline
# goes first.
REQUESTS_PER_ROUND = 4
# Accounts that have had their turn are forgotten beyond this number.
MAX_FLOWS = 1_000


class FairOrder:
    """Numbers the rounds in which requests are served.

    Attributes:
        virtual_time: start of the request that was served last.
        finish: by account, when its last request is finished.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.finish: dict[str, float] = {}

    def enter(self, account: str) -> float:
        """Return the start of a new request of an account."""
        start = max(self.virtual_time, self.finish.get(account, 0.0))
        self.finish[account] = start + 1.0 / REQUESTS_PER_ROUND
        if len(self.finish) > MAX_FLOWS:
            self.finish = {
                name: at
                for name, at in self.finish.items()
                if at > self.virtual_time
            }
        return start

    def serve(self, start: float) -> None:
        """Note that a request with this start is served."""
        self.virtual_time = max(self.virtual_time, start)


def round_number(start: float) -> int:
    """Return the round of a request by its start."""
    return int(start)
