"""Command that explains from logs what happened to a job."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from azurecleat_cli._internal.base import EXIT_OK, EXIT_REFUSED, EXIT_USAGE
from azurecleat_cli._internal.operations.explain import describe, explain, read_lines


class ExplainCommand(Command):
    """Explains a job from log files or standard input, without calling an instance."""

    name = "explain"
    description = "Explains from logs what happened to a job; the last line is the cause."
    arguments = [
        argument("job", "Id of the job."),
        argument("files", "Log files [standard input].", True, True),
    ]
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        try:
            explanation = explain(self.argument("job"), read_lines(self._texts()))
        except OSError as error:
            self.line_error(f"error: cannot read {error.filename}: {error.strerror}")
            return EXIT_USAGE
        if self.option("json"):
            lines = [line.fields for line in explanation.lines]
            self.line(json.dumps({"lines": lines, "cause": explanation.cause}))
        else:
            since = explanation.lines[0].at if explanation.lines else 0.0
            for line in explanation.lines:
                self.line(describe(line, since))
            self.line(f"cause: {explanation.cause}")
        return EXIT_OK if explanation.lines else EXIT_REFUSED

    def _texts(self) -> Iterator[str]:
        files = self.argument("files")
        if not files:
            yield from sys.stdin
        for name in files:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
