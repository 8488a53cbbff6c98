"""The formatter: normalizes white space and line breaks. Meaning, comments and groups of lines stay."""

from __future__ import annotations

import re
from collections.abc import Iterator

INDENT = "    "
_TOKEN = re.compile(r'"(?:\\.|[^"\\\n])*"|#[^\n]*|\n|[{}=,;]|[^\s{}=,;#"]+')


class _Writer:
    """Collects output lines; ``line`` and ``comments`` belong to the line in progress."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.depth = 0
        self.line: list[str] = []
        self.comments: list[str] = []
        self.wants_blank_line = False  # whether an empty line precedes the next one

    def end_line(self) -> None:
        """Append the line in progress with its comments, if there is one."""
        if not self.line and not self.comments:
            return
        text = "".join(_spaced(self.line))
        if self.comments:
            comment_text = "  ".join(self.comments)
            text = f"{text}  {comment_text}" if text else comment_text
        self.add_line(text)
        self.line, self.comments = [], []

    def add_line(self, text: str) -> None:
        """Append a complete line, indented; drops an empty line at the start of a block and at its end."""
        opened = not self.lines or self.lines[-1].split("#")[0].rstrip().endswith("{")
        if self.wants_blank_line and not opened and not text.startswith("}"):
            self.lines.append("")
        self.wants_blank_line = False
        self.lines.append(INDENT * self.depth + text)


def _spaced(tokens: list[str]) -> Iterator[str]:
    for at, token in enumerate(tokens):
        if at and token != ",":
            yield " "
        yield token


def fmt(text: str) -> str:
    """Format a text that has no syntax errors."""
    out = _Writer()
    newlines, at_line_start = 1, True  # newlines since the last token; no token on this source line yet
    for found in _TOKEN.finditer(text):
        token = found[0]
        if token == "\n":
            newlines += 1
            if not (out.line and out.line[-1] == ","):
                out.end_line()
            if newlines > 1 and out.lines:
                out.wants_blank_line = True
            at_line_start = True
            continue
        if token.startswith("#"):
            comment_text = token.rstrip()
            if out.line:
                out.comments.append(comment_text)
            elif not at_line_start and out.lines:  # after a brace on the same line
                out.lines[-1] += "  " + comment_text
            else:
                out.add_line(comment_text)
        elif token == "{":
            out.line.append(token)
            out.end_line()
            out.depth += 1
        elif token == "}":
            out.end_line()
            out.depth = max(0, out.depth - 1)
            out.add_line("}")
        elif token == ";":
            # After a comma the value continues, as it does after a line end.
            if not (out.line and out.line[-1] == ","):
                out.end_line()
        else:
            out.line.append(token)
        newlines, at_line_start = 0, False
    out.end_line()
    return "\n".join(out.lines) + "\n" if out.lines else ""
