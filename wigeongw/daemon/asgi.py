"""Types of ASGI applications."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
