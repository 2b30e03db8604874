"""Writes the tables of docs/CAPACITY.md from docs/capacity.json."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench
from azurecleat_bench._internal.capacity import figure_table, figures, slope_table


class CapacityCommand(Bench):
    """Replaces the tables between the ``<!-- NAME -->`` and ``<!-- end NAME -->`` markers."""

    name = "capacity"
    description = "Computes the tables of docs/CAPACITY.md from docs/capacity.json."
    options = [
        *COMMON_OPTIONS,
        option("docs", None, "Folder of the page and its input.", flag=False, default="docs"),
    ]

    def measure(self) -> dict[str, Any]:
        """Writes the tables and returns the figures."""
        docs = Path(self.option("docs"))
        result = json.loads((docs / "capacity.json").read_text(encoding="utf-8"))
        page = docs / "CAPACITY.md"
        text = page.read_text(encoding="utf-8")
        for name, content in (("figures", figure_table(result)), ("slopes", slope_table(result))):
            marked = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end {name} -->)", re.S)
            text = marked.sub(lambda match, c=content: match[1] + c + "\n" + match[2], text)
        page.write_text(text, encoding="utf-8")
        return {f"{row.role}: {row.name}": round(row.value, 4) for row in figures(result)}
