"""How many records one call may append: the log refuses a call that is too large as a whole."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

Record = tuple[str, bytes | None]

MAX_CALL_BYTES = 1 << 20
"""Most bytes of several records in one call: half of what the log takes."""

MAX_SHARED_BYTES = 1 << 17
"""Largest record that shares a call with others: half of what the log takes. One that is refused
for its size must not take others with it."""


def count_for_call(records: Iterable[Record]) -> int:
    """Returns how many of some records, from the first on, go into one call: at least one."""
    count = total = 0
    for key, value in records:
        size = len(key) + len(value or b"")
        total += size if size <= MAX_SHARED_BYTES else MAX_CALL_BYTES
        if count and total > MAX_CALL_BYTES:
            break
        count += 1
    return count


def split_into_calls(records: Sequence[Record]) -> list[Sequence[Record]]:
    """Splits records into those of one call each, in order."""
    calls = []
    while records:
        count = count_for_call(records)
        calls.append(records[:count])
        records = records[count:]
    return calls
