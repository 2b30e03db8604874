"""Parses documents of other writers, of which nothing may be taken for granted."""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Any, NoReturn

from azurecleat_base._internal.exceptions import DocumentError

MAX_DEPTH = 32
"""Deepest nesting of a document. Python compares, prints and encodes nested values recursively, on
a thread's own stack: a few hundred levels can overflow it, which ends the process."""

MAX_ERROR_CHARS = 300
"""Longest description of an error, which may quote the document."""

MAX_PORT = 65_535

_LABEL = "[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_ADDRESS = re.compile(rf"(?P<host>{_LABEL}(\.{_LABEL})*):(?P<port>[0-9]{{1,5}})")
_IS_NUMERIC = re.compile("[0-9.]+")
_CONTAINERS = (list, dict)
MAX_HOST_CHARS = 253


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a number")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def parse_json(text: str | bytes, what: str = "document") -> Any:
    """Parses a JSON text in UTF-8.

    :param what: What the text is, for the error.
    :raises DocumentError: The text is not JSON, or nested too deeply.
    """
    try:
        value = _DECODER.decode(text.decode() if isinstance(text, bytes) else text)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"{what} is not JSON: {describe(error)}", step="decode") from None
    # Counting is much faster than walking, and few documents have so many lists and objects.
    openings = (b"[", b"{") if isinstance(text, bytes) else ("[", "{")
    if sum(map(text.count, openings)) > MAX_DEPTH and _is_nested_too_deeply(value):
        raise DocumentError(f"{what} is nested over {MAX_DEPTH} levels deep", step="decode")
    return value


def parse_json_object(text: str | bytes, what: str = "document") -> dict[str, Any]:
    """Parses a JSON text in UTF-8 that has to be an object.

    :raises DocumentError: See :func:`parse_json`; or the text is something else than an object.
    """
    value = parse_json(text, what)
    if not isinstance(value, dict):
        raise DocumentError(f"{what} is not an object", step="decode")
    return value


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``, where the host is an IPv4 address or a name.

    :raises ValueError: The address has another form, or its port is out of range.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None:
        raise ValueError(f"address {address[:MAX_ERROR_CHARS]!r} is not host:port")
    host, port = match["host"], int(match["port"])
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    if len(host) > MAX_HOST_CHARS:
        raise ValueError("the host's name is too long")
    if _IS_NUMERIC.fullmatch(host):
        ipaddress.IPv4Address(host)
    return host, port


def describe(error: Exception) -> str:
    """Returns an error's type and text, shortened: the text may quote all of a document."""
    text = f"{type(error).__name__}: {error}"
    return text if len(text) <= MAX_ERROR_CHARS else f"{text[:MAX_ERROR_CHARS]}..."


def _is_nested_too_deeply(value: Any) -> bool:
    level = [value] if type(value) in _CONTAINERS else []
    for _ in range(MAX_DEPTH):
        if not level:
            return False
        level = [
            inner
            for each in level
            for inner in (each.values() if type(each) is dict else each)
            if type(inner) in _CONTAINERS
        ]
    return bool(level)
