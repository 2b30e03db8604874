"""Decoding of documents written by the platform, operators, targets and callers."""

from __future__ import annotations

import ast
import json
import platform
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from adapter.documents import PlatformDecoder, decode_job, decode_report
from adapter.settings import read_settings
from adapter.store import _decode_page, _encode_record
from azurecleat_base import Resources
from azurecleat_base.exceptions import DocumentError, LogError
from azurecleat_cluster.exceptions import SettingsError
from azurecleat_cluster.ports import LogRecord
from azurecleat_cluster.values import EndKind, TargetState, TaskId
from hypothesis import given, settings
from hypothesis import strategies as st

from tests import ADAPTER_FOLDER as FOLDER
from tests.lib.fake_platform import FakePlatform

ROUTE = {
    "name": "q",
    "host": "Nony24.example",
    "path_prefix": "/lohu930/",
    "service": "pool",
    "slo_ms": 250,
    "attempts": 4,
    "stretch": 1.5,
    "advice": {"decide_ms": 24.0, "period_ms": 0.22, "valid_ms": 2500},
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "pool", "admission_check": False}],
    "tenants": [{"name": "team", "api_keys": ["k"], "weight": 6, "max_count": {"cpu": 9}}],
}
ENTRY = {
    "service": "pool",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "draining",
    "remaining_ms": 4000,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1700000000000,
}

EXAMPLES = 300


def setUpModule() -> None:  # noqa: N802
    # Hypothesis builds its table of characters on first use. That takes seconds, and its health
    # check would count them as the time to generate the first example.
    st.text().validate()


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def record(key: str, value: object) -> LogRecord:
    return LogRecord(key, json.dumps(value).encode(), 0)


class DecoderTest(unittest.TestCase):
    """Valid documents are decoded; all others raise DocumentError and nothing else."""

    def test_configuration(self) -> None:
        configuration = PlatformDecoder().configuration(record("config", CONFIGURATION))
        queue = configuration.queues[0]
        self.assertEqual((queue.host, queue.prefix), ("nony24.example", "/lohu930/"))
        self.assertEqual(queue.advice.valid_ms, 2500)
        self.assertEqual(configuration.teams["team"].limit, Resources(9, 0, 0))
        self.assertIsNone(PlatformDecoder().configuration(record("wave/1", {})))

    def test_target_entry(self) -> None:
        entry = PlatformDecoder().target(record("i-1", ENTRY))
        self.assertIs(entry.state, TargetState.DRAINING)
        self.assertEqual((entry.kind, entry.rack), ("a", "r1-3"))
        self.assertEqual(entry.started_at_ms, 1700000000000)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.sampled_from(sorted(ENTRY)), json_values)
    def test_target_entry_with_arbitrary_field(self, field: str, value: object) -> None:
        try:
            entry = PlatformDecoder().target(record("i-1", ENTRY | {field: value}))
        except DocumentError:
            return
        self.assertIsInstance(entry.capacity, Resources)
        self.assertIsInstance(entry.state, TargetState)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(json_values)
    def test_job_body(self, value: object) -> None:
        try:
            spec = decode_job(json.dumps(value).encode())
        except DocumentError:
            return
        self.assertTrue(spec.steps)

    def test_job_steps(self) -> None:
        step = {"count": 2, "cpu": 500, "mem_mb": 256, "anti_affinity": 1, "depends_on": []}
        second = {"count": 1, "depends_on": [0], "fills": True, "cpu": 100, "mem_mb": 5}
        spec = decode_job(json.dumps({"spec": "x", "steps": [step, second]}).encode())
        self.assertEqual(spec.steps[0].max_per_target, 1)
        self.assertEqual(spec.steps[1].allocation, Resources(0, 5, 0))
        for bad in ({"count": 0}, {"count": True}, {"count": 1, "depends_on": [1]}, {"cpu": 1}):
            with self.subTest(bad=bad), self.assertRaises(DocumentError):
                decode_job(json.dumps({"spec": "x", "steps": [step, bad]}).encode())

    def test_report(self) -> None:
        task = "5c0e7a21d94b36f8.0.1.17"
        rows = {"running": [[task, 2, "00000bb8", 41]], "ended": [[58, task, 1, "done", ""]]}
        report = decode_report({"clock_ms": 482113, "born": 5, **rows})
        self.assertEqual(report.running[0].task, TaskId("5c0e7a21d94b36f8", 0, 1, 17))
        self.assertIs(report.ended[0].kind, EndKind.DONE)
        for bad in ({}, {"clock_ms": 1, "running": [[1]], "ended": []}):
            with self.subTest(bad=bad), self.assertRaises(DocumentError):
                decode_report(bad)


class StoreTest(unittest.TestCase):
    """Record encoding of the store."""

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.lists(st.tuples(st.text(min_size=1, max_size=20), st.binary(min_size=1))))
    def test_records(self, records: list[tuple[str, bytes]]) -> None:
        body = b"".join(_encode_record(key, value) for key, value in records)
        page = _decode_page((9).to_bytes(8, "big") + bytes(8) + body, 4)
        self.assertEqual([(each.key, each.value) for each in page.records], records)
        self.assertEqual(page.next_offset, 4 + len(records))

    # The read of a record without a key failed again and again, so that no later one was read.
    def test_record_without_a_key_is_passed(self) -> None:
        for odd in (b"", b"\x09short"):
            body = bytes(16) + len(odd).to_bytes(4, "big") + odd + _encode_record("key", b"value")
            page = _decode_page(body, 5)
            with self.subTest(odd=odd):
                self.assertEqual([each.key for each in page.records], ["", "key"])
                self.assertEqual((page.records[0].value, page.next_offset), (None, 7))

    def test_truncated_answer_is_rejected_at_each_length(self) -> None:
        whole = bytes(16) + _encode_record("key", b"value")
        for size in range(len(whole)):
            if size == 16:
                continue  # A header without records is a complete answer.
            with self.subTest(size=size), self.assertRaises(LogError):
                _decode_page(whole[:size], 0)


class SettingsTest(unittest.TestCase):
    """The settings file that the platform writes."""

    def read(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_text(text, encoding="utf-8")
            return read_settings(str(path))

    def test_valid_settings_and_errors_that_name_the_invalid_field(self) -> None:
        fake = FakePlatform(targets=0)
        self.addCleanup(fake.close)
        good = fake.settings("n", [8183, 8184, 7420])
        settings = self.read(good + '\nnew_field = "ignored"\n')
        self.assertEqual(settings.peer_address, "127.0.0.1:7420")
        self.assertEqual(settings.max_lease_s, 10.0)
        for old, new, named in (
            ('node = "n"', "node = 3", "node"),
            ("max_hold_ms = 10000", "max_hold_ms = -1", "bounds.max_hold_ms"),
            ("max_hold_ms = 10000", "", "bounds.max_hold_ms"),
            ("[7420, 7422]", "[7420]", "port_range"),
            ("max_hold_ms = 10000", "max_hold_ms = inf", "bounds.max_hold_ms"),
            ("max_hold_ms = 10000", "max_hold_ms = nan", "bounds.max_hold_ms"),
            ("memory_mb = 300", f"memory_mb = {10**400}", "limits.memory_mb"),
            ("memory_mb = 300", "memory_mb = inf", "limits.memory_mb"),
            ('node = "n"', f"node = {'[' * 900}{']' * 900}", "cannot be read|node"),
            ('node = "n"', f"node = {'[' * 9000}{']' * 9000}", "cannot be read"),
            ("[platform]", "[store]", "platform.address"),
            ("[listen]", "[listen", "cannot be read"),
        ):
            with self.subTest(new=new), self.assertRaisesRegex(SettingsError, named):
                self.read(good.replace(old, new))

    # The thread that watches the file ended.
    def test_file_that_is_not_text(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_bytes(b"node = \xff")
            with self.assertRaises(SettingsError):
                read_settings(str(path))


class FolderTest(unittest.TestCase):
    """Separation of the folder ``platform`` from the standard library and from the core."""

    def test_standard_module_platform_is_not_shadowed(self) -> None:
        self.assertTrue(hasattr(platform, "python_version"))
        code = "import instance, platform; print(platform.python_version())"
        result = subprocess.run(
            [sys.executable, "-c", code], cwd=FOLDER, capture_output=True, check=False
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertFalse((FOLDER / "__init__.py").exists())

    def test_core_contains_no_names_of_the_platform_protocol(self) -> None:
        names = ("run-start", "run-stop", "last_seen", "log-append", "log-read", "keyed.", "op/")
        source = FOLDER.parent / "libs" / "cluster" / "src"
        for path in source.rglob("*.py"):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            texts = [node.value for node in ast.walk(tree) if isinstance(node, ast.Constant)]
            for text in texts:
                if isinstance(text, str):
                    self.assertFalse([name for name in names if name in text], path)


if __name__ == "__main__":
    unittest.main()
