"""Bounds the bytes of one message that are not its body.

Answers peers that send without end what a parser accepts between bodies:
blank lines, heads, informational responses, chunk extensions, framing and
trailers. One account covers a message from its first byte to its last, and
nothing inside the message sets it back.
"""

# Bytes that may surround one byte of a body. A chunk of one byte needs five,
# and more with an extension.
MAX_OVERHEAD_PER_BODY_BYTE = 64


class MessageAccount:
    """Counts the bytes of one message.

    Attributes:
        allowance: bytes beside the body that any message may have.
        received: all bytes so far.
        body: bytes of the body so far.
    """

    def __init__(self, allowance: int) -> None:
        self.allowance = allowance
        self.received = 0
        self.body = 0

    @property
    def overhead(self) -> int:
        """Bytes so far that are not body."""
        return self.received - self.body

    @property
    def is_exceeded(self) -> bool:
        """Whether the peer has sent more than a sound one needs."""
        allowed = self.allowance + MAX_OVERHEAD_PER_BODY_BYTE * self.body
        return self.overhead > allowed
