"""Documents of other writers that are nested deeply or hold impossible values."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
from unittest.mock import patch

from adapter.documents import PlatformDecoder, decode_job, decode_report
from adapter.targets import HttpTargetClient
from azurecleat_base import HttpClient, HttpResponse, parse_json
from azurecleat_base.exceptions import AzurecleatError, DocumentError
from azurecleat_cluster.ports import LogRecord

from tests import ADAPTER_FOLDER
from tests.lib.odd_documents import (
    BAD_ADDRESSES,
    HUGE_NUMBERS,
    nested_values,
    odd_target_entries,
    with_field,
)
from tests.unit.adapter.test_documents import CONFIGURATION, ENTRY
from tests.unit.adapter.test_targets import COMMAND
from tests.unit.adapter.test_targets import ENTRY as TARGET

JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 1, "required_label": "", "image": ""}]}
REPORT = {
    "clock_ms": 5,
    "born": 7,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "c", 41, 0]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", "c"]],
}

DECODE_ON_A_SMALL_STACK = """
import sys, threading
sys.path.insert(0, {root!r})
from adapter.program import THREAD_STACK_BYTES
from tests.unit.adapter.test_odd_documents import decode_nested_documents
threading.stack_size(THREAD_STACK_BYTES)
thread = threading.Thread(target=decode_nested_documents)
thread.start()
thread.join()
print("alive")
"""


def decode_nested_documents() -> None:
    """Decodes documents with a nested value in each field, as the threads of a process do."""
    for text in nested_values():
        for document, paths, decode in (
            (ENTRY, ("service", "address", "state", "capacity.cpu", "labels"), decode_target),
            (JOB, ("spec", "steps.0.cpu", "steps.0.image"), decode_job),
            (CONFIGURATION, ("routes.0.name", "routes.0.stretch", "version"), decode_configuration),
        ):
            for path in paths:
                try:
                    decode(with_field(document, path, text))
                except DocumentError as error:
                    str(error)


def decode_target(value: bytes) -> object:
    return PlatformDecoder().target(LogRecord("i-1", value, 0))


def decode_configuration(value: bytes) -> object:
    return PlatformDecoder().configuration(LogRecord("config", value, 0))


class OddDocumentsTest(unittest.TestCase):
    """All of these documents raise DocumentError, and nothing else."""

    # To name the value in the error, Python printed it: that overflowed the stack of the thread.
    def test_nested_values_do_not_end_the_process(self) -> None:
        code = DECODE_ON_A_SMALL_STACK.format(root=str(ADAPTER_FOLDER.parent))
        result = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ADAPTER_FOLDER,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual((result.returncode, result.stdout), (0, "alive\n"), result.stderr)

    # Review case 9: from Python 3.12 on the parser itself overflowed the stack of the thread: it
    # accepts far more levels than a stack of 160 KiB holds.
    def test_nested_documents_are_not_parsed(self) -> None:
        for text in nested_values((33, 20_000)):
            for prefix in ("", '"]]]]", ', '"\\"]]", ', '"\\\\", '):
                document = f"[{prefix}{text}]"
                for given in (document, document.encode()):
                    with (
                        self.subTest(start=document[:12], size=len(given), kind=type(given)),
                        patch("azurecleat_base._internal.documents._DECODER") as decoder,
                    ):
                        self.assertRaises(DocumentError, parse_json, given)
                        decoder.decode.assert_not_called()

    def test_brackets_in_texts_are_no_nesting(self) -> None:
        for text in ("[" * 100, '\\"' + "{" * 100, "\\\\" + "[" * 100, "]" * 50 + "[" * 100):
            value = {"a": [1, text], "b": [[]] * 40}
            with self.subTest(text=text[:8]):
                self.assertEqual(parse_json(json.dumps(value)), value)

    # Polls of a target at port 0 or of a host that is no name were tried again and again.
    def test_target_entries(self) -> None:
        self.assertEqual(decode_target(json.dumps(ENTRY).encode()).address, ENTRY["address"])
        for value in odd_target_entries(ENTRY):
            with self.subTest(value=value[:90]), self.assertRaises(DocumentError):
                decode_target(value)

    # The record of a target in use has a key made from the id; its append failed for good.
    def test_ids_of_targets(self) -> None:
        value = json.dumps(ENTRY).encode()
        for name in ("x" * 255, "x" * 254, "\u00e9", "a\nb", "a b", "", "\ufffd" * 90, "\ud800"):
            with self.subTest(name=name[:20]), self.assertRaises(DocumentError):
                PlatformDecoder().target(LogRecord(name, value, 0))

    # Each later version counted as older than one whose number has 400 digits.
    def test_numbers_of_a_configuration(self) -> None:
        paths = ("version", "routes.0.stretch", "routes.0.slo_ms", "tenants.0.weight")
        for path in paths:
            for number in set(HUGE_NUMBERS) - {"-1"}:
                with self.subTest(path=path, number=number[:9]), self.assertRaises(DocumentError):
                    decode_configuration(with_field(CONFIGURATION, path, number))

    # No lease could be computed from such a clock, and it was never replaced: a target that had
    # sent one odd report got no task any more.
    def test_numbers_of_a_report(self) -> None:
        decode_report(REPORT)
        paths = ("clock_ms", "born", "running.0.1", "running.0.3", "ended.0.0", "ended.0.2")
        for path in paths:
            for number in HUGE_NUMBERS:
                if (path, number) == ("running.0.3", "-1"):
                    continue
                value = with_field(REPORT, path, number)
                with self.subTest(path=path, number=number[:9]), self.assertRaises(AzurecleatError):
                    poll(value)

    def test_clock_in_the_answer_to_a_start(self) -> None:
        for number in ("1e400", "-1", "1" + "0" * 400, '"x"', "null", "[]"):
            answer = HttpResponse(200, b'{"clock_ms":%s}' % number.encode(), {})
            with (
                self.subTest(number=number[:9]),
                patch.object(HttpClient, "call", lambda *arguments, answer=answer: answer),
            ):
                result = HttpTargetClient(TARGET).start(COMMAND, 0.3)
                self.assertEqual((result.started, result.clock_ms), (True, 0.0))

    def test_error_does_not_quote_all_of_a_long_value(self) -> None:
        for field in ("service", "state", "address", "capacity", "labels", "zone"):
            value = json.dumps(ENTRY | {field: "x" * 1_000_000}).encode()
            with self.subTest(field=field), self.assertRaises(DocumentError) as caught:
                decode_target(value)
            self.assertLess(len(str(caught.exception)), 500)


def poll(value: bytes) -> object:
    """Polls a target that answers with a body."""
    answer = HttpResponse(200, value, {})
    with patch.object(HttpClient, "call", lambda *arguments: answer):
        return HttpTargetClient(TARGET).poll(1, 0, None, 0.0, 0.3)


class HttpClientAddressTest(unittest.TestCase):
    """Calls to an address that names no server."""

    # Errors of other kinds than the documented ones came through, each to be handled by callers.
    def test_nothing_is_sent(self) -> None:
        for address in BAD_ADDRESSES:
            with self.subTest(address=address[:40]), self.assertRaises(AzurecleatError):
                HttpTargetClient(TARGET._replace(address=address)).stop(COMMAND.task, 1, 1, 0.1)

    def test_header_that_cannot_be_encoded(self) -> None:
        for name in ("\u4e00", "a\nb"):
            with self.subTest(name=name), self.assertRaises(AzurecleatError):
                HttpTargetClient(TARGET._replace(id=name)).stop(COMMAND.task, 1, 1, 0.1)


if __name__ == "__main__":
    unittest.main()
