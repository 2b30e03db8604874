"""Odd entries of the instance list, and answers that cannot be read."""

from __future__ import annotations

import json
import unittest
from unittest.mock import patch

from azurecleat_base import HttpResponse
from azurecleat_model import Resources, to_plain
from azurecleat_model.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    OutcomeUnknownError,
)
from azurecleat_platform import HttpClient, HttpLog, HttpTarget, Target, TargetKind
from azurecleat_platform._internal.http_targets import HttpInstanceList
from azurecleat_platform._internal.types import ControlRequest

from tests.lib.odd_documents import (
    BAD_ADDRESSES,
    EXTREME_DEPTH,
    HUGE_NUMBERS,
    nested_values,
    with_field,
)

GOOD = Target("r1", TargetKind.RUNNER, "z", "10.0.0.1:80", "rack", Resources(1, 2, 0), 8, 9)
LATER = GOOD._replace(name="r2", address="10.0.0.2:80")
ODD_BODIES = (b"", b"\xff", b"[]", b"7", b"{}", b"[" * EXTREME_DEPTH, b'{"targets":7}')


def odd_entries(name: str) -> list[str]:
    """Returns JSON texts of entries that name no target to use."""
    plain = to_plain(GOOD) | {"name": name}
    fields = ("kind", "zone", "address", "rack", "capacity", "capacity.cpu_milli", "slots")
    odd = [with_field(plain, field, text) for text in nested_values((20,)) for field in fields]
    odd += [with_field(plain, "slots", number) for number in HUGE_NUMBERS if len(number) < 4000]
    odd += [with_field(plain, "capacity.memory_mb", str(2**64)), b"7", b"null", b"[]", b"{}"]
    odd += [
        with_field(plain, "address", json.dumps(address))
        for address in BAD_ADDRESSES
        if len(address) < 4000
    ]
    return [value.decode() for value in odd if b"NaN" not in value]


class OddTargetsTest(unittest.TestCase):
    """The instance list holds good entries and odd ones."""

    def setUp(self) -> None:
        self.list = HttpInstanceList("127.0.0.1:1")

    def read(self, body: bytes) -> list[Target]:
        answer = HttpResponse(200, body, {})
        with patch.object(HttpClient, "call", lambda *arguments, **named: answer):
            return self.list.targets()

    def read_entries(self, *values: str) -> list[Target]:
        return self.read(f'{{"targets":[{",".join(values)}]}}'.encode())

    # One odd entry kept all later versions of the list from being used.
    def test_other_entries_hold(self) -> None:
        good, later = (json.dumps(to_plain(target)) for target in (GOOD, LATER))
        for odd in odd_entries("odd"):
            with self.subTest(odd=odd[:90]):
                self.assertEqual(self.read_entries(good, odd, later), [GOOD, LATER])

    def test_known_target_keeps_its_last_entry(self) -> None:
        later = json.dumps(to_plain(LATER))
        self.read_entries(json.dumps(to_plain(GOOD)))
        for odd in odd_entries("r1"):
            if '"r1"' in odd:
                with self.subTest(odd=odd[:90]):
                    self.assertEqual(self.read_entries(odd, later), [GOOD, LATER])
        self.assertEqual(self.read_entries(later), [LATER])

    # Errors of undocumented kinds passed the handling of a list that cannot be read.
    def test_unreadable_list_counts_as_not_available(self) -> None:
        for body in ODD_BODIES:
            with self.subTest(body=body[:20]), self.assertRaises(LogUnavailableError):
                self.read(body)


class OddAnswersTest(unittest.TestCase):
    """Answers of a target and of the log that cannot be read."""

    def check(self, expected: type[Exception], call: object, *bodies: bytes) -> None:
        for status, body in [(200, body) for body in (*ODD_BODIES, *bodies)]:
            answer = HttpResponse(status, body, {})
            with (
                self.subTest(body=body[:20]),
                patch.object(HttpClient, "call", lambda *arguments, answer=answer, **named: answer),
                self.assertRaises(expected),
            ):
                call()

    # A target's session met an error for which it does not pause or count the target as silent.
    def test_control(self) -> None:
        request = ControlRequest("p", 1, "i", 1.0)
        target = HttpTarget("t", "127.0.0.1:1")
        self.check(OutcomeUnknownError, lambda: target.control(request), b'{"version":1,"ended":7}')

    def test_log(self) -> None:
        log = HttpLog("127.0.0.1:1")
        self.check(AppendUnknownError, lambda: log.append(b"x"), b'{"offset":1e400}')
        self.check(LogUnavailableError, lambda: log.read(0, 1), b'{"entries":[[1]],"tail":1}')
        self.check(LogUnavailableError, log.first_offset, b'{"first":"x"}')


if __name__ == "__main__":
    unittest.main()
