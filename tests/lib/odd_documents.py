"""Documents that another writer may leave in a stream, each with one field that is odd."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from typing import Any

DEPTHS = (100, *range(900, 1000, 10))
"""Python's parser accepts up to about 990 levels, fewer the more calls are in progress."""

EXTREME_DEPTH = 100_000

LONG = "x" * 1_000_000

HUGE_NUMBERS = ("1" + "0" * 400, "1e400", "-1", str(2**63), str(2**64), "1" * 5000, "NaN")

BAD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "127.0.0.1:-1",
    "127.0.0.1:abc",
    "127.0.0.1: 80",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1",
    ":80",
    "",
    "[::1]:80",
    "a..b:80",
    "a" * 300 + ":80",
    "host\r\nX-Evil: 1:80",
    "host\x00:80",
    "\ud800:80",
    "\u0661:80",
    "host:\u0661\u0662",
    LONG,
)


def nested_values(depths: Sequence[int] = DEPTHS) -> Iterator[str]:
    """Returns JSON texts of values nested this deeply: lists, objects and both in turn."""
    for depth in depths:
        for start, end in (("[", "]"), ('{"a":', "}")):
            yield start * depth + "1" + end * depth
        yield '[{"a":' * (depth // 2) + "1" + "}]" * (depth // 2)


def with_field(document: dict[str, Any], path: str, value: str) -> bytes:
    """Returns a JSON document in which the field at a dotted path has another value.

    :param value: JSON text, which need not be valid.
    """
    marker = "odd-value"
    copy = json.loads(json.dumps(document))
    *parents, last = path.split(".")
    inner = copy
    for name in parents:
        inner = inner[int(name) if isinstance(inner, list) else name]
    inner[int(last) if isinstance(inner, list) else last] = marker
    return json.dumps(copy).replace(f'"{marker}"', value).encode()


def odd_target_entries(entry: dict[str, Any]) -> Iterator[bytes]:
    """Returns variants of a target's entry that name no target to use."""
    for text in nested_values():
        for field in ("service", "address", "state", "born", "capacity", "capacity.cpu", "labels"):
            yield with_field(entry, field, text)
        yield text.encode()
    yield from (text.encode() for text in nested_values((EXTREME_DEPTH,)))
    for number in HUGE_NUMBERS:
        for field in ("born", "remaining_ms", "capacity.cpu"):
            yield with_field(entry, field, number)
    for address in BAD_ADDRESSES:
        yield with_field(entry, "address", json.dumps(address))
    for text in ("\ud800", LONG):
        yield with_field(entry, "labels", json.dumps([text, "r1"]))
        yield with_field(entry, "zone", json.dumps(text))
        yield with_field(entry, "service", json.dumps(text))
    yield from (b"\xff\xfe\x00", b'{"service":"\xff"}', b"[]", b"null", b"7")
