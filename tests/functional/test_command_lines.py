"""Runs the command lines as operators and callers do."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

from azurecleat_cli._internal.main import operator_main, submit_main
from azurecleat_daemon._internal.standalone import build_standalone, start_standalone

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"


def run_command_line(main, token: str, address: str, *arguments: str) -> tuple[int, str]:
    """Runs a command line in this process; returns its exit code and its output."""
    environment = {"AZURECLEAT_ADDRESS": address, "AZURECLEAT_TOKEN": token}
    output = io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["program", *arguments]),
        mock.patch.dict(os.environ, environment),
        redirect_stdout(output),
        redirect_stderr(output),
    ):
        try:
            code = main()
        except SystemExit as error:
            code = error.code
    return int(code or 0), output.getvalue()


class CommandLineTest(unittest.TestCase):
    """``azurecleat`` and ``azurecleat-submit`` against a standalone system."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.system = build_standalone()
        start_standalone(cls.system)
        cls.address = cls.system.application.callers_address

    @classmethod
    def tearDownClass(cls) -> None:
        cls.system.application.stop()

    def operator(self, *arguments: str) -> tuple[int, str]:
        return run_command_line(operator_main, self.system.operator_token, self.address, *arguments)

    def submit(self, *arguments: str) -> tuple[int, str]:
        return run_command_line(submit_main, self.system.key, self.address, *arguments)

    def write_file(self, text: str) -> str:
        with tempfile.NamedTemporaryFile("w", suffix=".jsonc", delete=False) as file:
            file.write(text)
        self.addCleanup(os.unlink, file.name)
        return file.name

    def test_request_and_open_queue(self) -> None:
        self.assertEqual(self.submit("request", "pit 7"), (0, "answer: checked: pit 7\n"))
        code, output = self.submit("request", "a", "--open", "public", "--json")
        self.assertEqual((code, json.loads(output)), (0, {"answer": "checked: a"}))

    def test_repeated_request_with_once_is_a_duplicate_of_unknown_outcome(self) -> None:
        self.assertEqual(self.submit("request", "x", "--once", "--key", "k1")[0], 0)
        code, output = self.submit("request", "x", "--once", "--key", "k1", "--json")
        self.assertEqual((code, json.loads(output)["code"]), (4, "duplicate"))

    def test_job_can_be_awaited_explained_and_cancelled(self) -> None:
        spec = (EXAMPLES / "job.jsonc").read_text().replace('"run_s": 120', '"run_s": 0.3')
        code, output = self.submit("job", self.write_file(spec), "--json")
        self.assertEqual(code, 0, output)
        job = json.loads(output)["job"]
        code, output = self.submit("wait", job, "--json", "--timeout", "20")
        self.assertEqual((code, json.loads(output)["done"]), (0, 6))
        long_job = self.write_file((EXAMPLES / "job.jsonc").read_text())
        job = json.loads(self.submit("job", long_job, "--json")[1])["job"]
        self.assertIn("why", self.operator("why", job)[1])
        self.assertEqual(self.submit("cancel", job)[0], 0)
        self.assertTrue(json.loads(self.submit("status", job, "--json")[1])["cancelled"])

    def test_configuration_is_checked_tried_and_promoted_once_per_base(self) -> None:
        shown = json.loads(self.operator("config", "show", "--json")[1])
        document = shown["document"]
        team = next(team for team in document["teams"] if team["name"] == "demo")
        team["share"] = 3.0
        path = self.write_file("// changed\n" + json.dumps(document))
        self.assertEqual(self.operator("config", "check", path)[0], 0)
        trial = json.loads(self.operator("config", "trial", path, "--json")[1])
        self.assertEqual([row["team"] for row in trial["teams"]], ["demo", "public"])
        base = str(shown["version"])
        self.assertEqual(self.operator("config", "promote", path, "--base", base)[0], 0)
        code, output = self.operator("config", "promote", path, "--base", base)
        self.assertEqual(code, 1)
        self.assertIn("conflict", output)
        self.assertIn("version", self.operator("config", "history")[1])

    def test_given_key_works_until_it_is_withdrawn(self) -> None:
        code, output = self.operator("key", "give", "demo", "visitor", "--json")
        secret = json.loads(output)["secret"]
        self.assertEqual(run_command_line(submit_main, secret, self.address, "request", "a")[0], 0)
        self.assertEqual(self.operator("key", "withdraw", "visitor")[0], 0)
        self.assertEqual(run_command_line(submit_main, secret, self.address, "request", "a")[0], 1)

    def test_status_targets_and_teams_are_listed(self) -> None:
        self.assertIn("local", self.operator("status")[1])
        self.assertIn("worker-0", self.operator("targets")[1])
        self.assertIn("demo", self.operator("team")[1])

    def test_exit_code_depends_on_the_kind_of_error(self) -> None:
        self.assertEqual(self.operator("config", "check", "/no/such/file")[0], 2)
        code, output = self.operator("config", "check", self.write_file('{"teams": [}'))
        self.assertEqual(code, 2)
        self.assertIn("not JSON", output)
        self.assertEqual(run_command_line(operator_main, "wrong", self.address, "status")[0], 1)
        self.assertEqual(run_command_line(submit_main, "k", "127.0.0.1:1", "request", "a")[0], 3)


class EntryStartupTest(unittest.TestCase):
    """Start-up errors of ``azurecleat-entry``."""

    def test_invalid_settings_are_named_in_the_error(self) -> None:
        program = Path(sys.executable).with_name("azurecleat-entry")
        for arguments, expected in (
            ([], "--settings"),
            (["--settings", "/no/such/file"], "cannot read"),
            (["--settings", str(EXAMPLES / "job.jsonc")], "instance"),
        ):
            with self.subTest(arguments=arguments):
                result = subprocess.run(
                    [program, *arguments], capture_output=True, text=True, check=False
                )
                self.assertEqual(result.returncode, 2)
                self.assertIn(expected, result.stdout + result.stderr)


if __name__ == "__main__":
    unittest.main()
