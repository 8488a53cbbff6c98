"""Diagnostics: place, problem and fix, formatted as text with a caret, as JSON, or as SARIF."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

ERROR, WARNING = "error", "warning"


@dataclass(frozen=True, slots=True)
class Source:
    """A text that was read, with its chain of includes: (file, line) from the first file on."""

    file: str
    text: str
    chain: tuple[tuple[str, int], ...] = ()

    def line(self, number: int) -> str:
        """Return a line by its number, from 1; an empty string if the text has no such line."""
        lines = self.text.split("\n")
        return lines[number - 1] if 0 < number <= len(lines) else ""


@dataclass(frozen=True, slots=True)
class Span:
    """A range within one line. Lines and columns count from 1; ``end`` is the column after the last."""

    source: Source = field(repr=False)
    line: int
    column: int = 1
    end: int = 0

    def __str__(self) -> str:
        return f"{self.source.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One finding about a block or key (``where``). ``related``: other places, each with a short label."""

    code: str
    where: str
    text: str
    fix: str
    span: Span
    severity: str = ERROR
    related: tuple[tuple[str, Span], ...] = ()

    @property
    def line(self) -> int:
        """The line that the finding points to."""
        return self.span.line

    def __str__(self) -> str:
        where = f"{self.where}: " if self.where else ""
        fix = f"; {self.fix}" if self.fix else ""
        mark = "" if self.severity == ERROR else "warning: "
        return f"{self.span}: {mark}{where}{self.text}{fix}"

    def render(self) -> str:
        """Format for a terminal: source line with a caret, chain of includes, related places and fix."""
        span = self.span
        where = f"{self.where}: " if self.where else ""
        lines = [f"{span}: {self.severity}[{self.code}]: {where}{self.text}"]
        text = span.source.line(span.line).replace("\t", " ")
        if text.strip():
            number = f"{span.line:5} | "
            width = max(1, min(span.end, len(text) + 1) - span.column)
            lines += [
                number + text[:160],
                " " * 6 + "| " + " " * min(span.column - 1, 160) + "^" * min(width, 80),
            ]
        lines += [f"      included from {file}:{line}" for file, line in reversed(span.source.chain)]
        lines += [f"      {words}: {place}" for words, place in self.related]
        if self.fix:
            lines.append(f"      fix: {self.fix}")
        return "\n".join(lines)

    def to_dict(self) -> dict[str, Any]:
        """Return the finding as plain values for JSON."""
        return {
            "severity": self.severity, "code": self.code, "file": self.span.source.file, "line": self.span.line,
            "column": self.span.column, "end_column": self.span.end, "where": self.where, "message": self.text,
            "fix": self.fix, "included_from": [f"{file}:{line}" for file, line in self.span.source.chain],
            "related": [{"text": words, "place": str(place)} for words, place in self.related],
        }  # fmt: skip


class ConfigError(Exception):
    """Invalid settings; ``problems`` holds every mistake found, sorted by file, line and column."""

    def __init__(self, problems: Iterable[Diagnostic]) -> None:
        self.problems = sorted(
            problems, key=lambda problem: (problem.span.source.file, problem.line, problem.span.column)
        )
        super().__init__("\n".join(str(problem) for problem in self.problems))


def sarif(found: Sequence[Diagnostic]) -> dict[str, Any]:
    """Return findings as a SARIF 2.1.0 log."""
    rules = sorted({problem.code for problem in found})
    results = [
        {
            "ruleId": problem.code,
            "level": problem.severity,
            "message": {"text": f"{problem.where}: {problem.text}; {problem.fix}".strip(": ;")},
            "locations": [
                {
                    "physicalLocation": {
                        "artifactLocation": {"uri": problem.span.source.file},
                        "region": {
                            "startLine": problem.span.line, "startColumn": problem.span.column,
                            "endColumn": max(problem.span.end, problem.span.column + 1),
                        },
                    }
                }
            ],
        }
        for problem in found
    ]  # fmt: skip
    driver = {"name": "winchdyke", "rules": [{"id": rule} for rule in rules]}
    return {
        "version": "2.1.0", "$schema": "https://json.schemastore.org/sarif-2.1.0.json",
        "runs": [{"tool": {"driver": driver}, "results": results}],
    }  # fmt: skip
