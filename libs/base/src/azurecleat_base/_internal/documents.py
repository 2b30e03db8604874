"""Parses documents of other writers, of which nothing may be taken for granted."""

from __future__ import annotations

import ipaddress
import itertools
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
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_DEPTH_CHANGES = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
MAX_HOST_CHARS = 253


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a number")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def parse_json(text: str | bytes, what: str = "document") -> Any:
    """Parses a JSON text in UTF-8.

    :param what: What the text is, for the error.
    :raises DocumentError: The text is not JSON, or nested too deeply.
    """
    # Before the text is parsed: from Python 3.12 on the parser may overflow a thread's stack.
    # Counting is much faster than measuring, and few documents have so many lists and objects.
    openings = (b"[", b"{") if isinstance(text, bytes) else ("[", "{")
    if sum(map(text.count, openings)) > MAX_DEPTH and _depth(text) > MAX_DEPTH:
        raise DocumentError(f"{what} is nested over {MAX_DEPTH} levels deep", step="decode")
    try:
        return _DECODER.decode(text.decode() if isinstance(text, bytes) else text)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"{what} is not JSON: {describe(error)}", step="decode") from None


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


def _depth(text: str | bytes) -> int:
    """Returns how deeply the lists and objects of a JSON text are nested."""
    data = text.encode(errors="surrogatepass") if isinstance(text, str) else text
    # Splitting is much faster, and few documents have escaped quotes.
    outside = _STRING.sub(b"", data) if b"\\" in data else b"".join(data.split(b'"')[::2])
    brackets = outside.translate(None, _NOT_BRACKETS)
    return max(itertools.accumulate(map(_DEPTH_CHANGES.__getitem__, brackets)), default=0)
