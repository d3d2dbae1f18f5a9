"""Parses JSON that another program wrote.

Whatever the bytes are, the result is an object or one typed error. The parser
itself also fails with errors of the interpreter, such as for arrays that are
nested more deeply than its stack.
"""

import json
from typing import Any

from wigeongw.core.errors import WigeongwError


class JsonTextError(WigeongwError):
    """Bytes are not a JSON object."""


def parse_object(text: str | bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Infinities and other values that are no JSON numbers are refused.

    Raises:
        JsonTextError: when the text is anything else.
    """
    try:
        document = json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise JsonTextError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise JsonTextError(
            f"expected a JSON object, not {type(document).__name__}"
        )
    return document


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is no JSON number")
