"""Checks that the documentation and the examples agree with the code."""

from __future__ import annotations

import json
import re
import unittest
from pathlib import Path

from azurecleat_bench._internal.capacity import figure_table, slope_table
from azurecleat_cluster import eventlog
from azurecleat_daemon import parse_settings
from azurecleat_model import JobSpec, events, parse_environment, parse_jsonc, validate
from azurecleat_model.exceptions import DocumentError
from pydantic import TypeAdapter

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
EXAMPLES = ROOT / "examples"


def read(path: Path) -> str:
    return path.read_text(encoding="utf-8")


class EventsTest(unittest.TestCase):
    """The catalogue of log events in docs/events.md agrees with the code."""

    def test_catalogue_lists_the_events_of_the_code(self) -> None:
        code = {
            (event.number, event.level, event.message)
            for event in vars(events).values()
            if isinstance(event, events.Event)
        }
        rows = re.findall(r"^\| E(\d+) \| (\w+) \| `(.*?)` \|", read(DOCS / "events.md"), re.M)
        self.assertEqual({(int(n), level, text) for n, level, text in rows}, code)

    def test_catalogue_lists_the_events_of_the_structured_log(self) -> None:
        code = {
            (event.number, event.name, event.fields)
            for event in vars(eventlog).values()
            if isinstance(event, eventlog.LogEvent)
        }
        rows = re.findall(r"^\| E(\d+) \| ([\w.]+) \| ([\w, ]+) \|", read(DOCS / "events.md"), re.M)
        listed = {(int(n), name, fields) for n, name, fields in rows if "." in name}
        self.assertEqual(listed, code)
        self.assertEqual(len({number for number, _, _ in code}), len(code))

    def test_event_numbers_are_unique(self) -> None:
        numbers = [e.number for e in vars(events).values() if isinstance(e, events.Event)]
        self.assertEqual(len(numbers), len(set(numbers)))


class ExamplesTest(unittest.TestCase):
    """The programs accept the examples."""

    def test_environments_are_valid(self) -> None:
        ductline = parse_environment(read(EXAMPLES / "ductline.jsonc"))
        klubnet = parse_environment(read(EXAMPLES / "klubnet.jsonc"))
        self.assertGreater(ductline.scheduling.waiting_weight, klubnet.scheduling.waiting_weight)

    def test_settings_and_job_are_valid(self) -> None:
        self.assertEqual(parse_settings(read(EXAMPLES / "entry.jsonc")).instance, "hobart-1")
        value = parse_jsonc(read(EXAMPLES / "job.jsonc"), "job")
        self.assertEqual(validate(TypeAdapter(JobSpec), value, "job").tasks, 6)

    def test_misspelt_limit_is_named_in_the_error(self) -> None:
        text = read(EXAMPLES / "klubnet.jsonc").replace('"requests"', '"requets"', 1)
        with self.assertRaisesRegex(DocumentError, "requets"):
            parse_environment(text)

    def test_invalid_settings_are_refused_with_the_field_named(self) -> None:
        good = read(EXAMPLES / "entry.jsonc")
        for old, new, expected in (
            ('"127.0.0.1:8080"', '"localhost:8080"', "callers"),
            ('"127.0.0.1:8080"', '"300.0.0.1:8080"', "300.0.0.1"),
            ('"lease_s": 15', '"lease_s": -1', "lease_s"),
            ('"lease_s": 15', '"list_s": 2', "list_s"),
            ('["hobart"]', "[]", "partitions"),
            ('"log_read_lag_s": 0.5', '"log_read_lag_s": 9', "log_read_lag_s"),
            ('"zone": "hobart",', "", "zone"),
        ):
            with self.subTest(new=new), self.assertRaisesRegex(DocumentError, expected):
                parse_settings(good.replace(old, new))


class CapacityTest(unittest.TestCase):
    """docs/CAPACITY.md contains the figures of docs/capacity.json."""

    def test_tables_are_computed_from_the_committed_measurement(self) -> None:
        result = json.loads(read(DOCS / "capacity.json"))
        page = read(DOCS / "CAPACITY.md")
        self.assertIn(figure_table(result), page)
        self.assertIn(slope_table(result), page)


if __name__ == "__main__":
    unittest.main()
