"""The formatter: one spelling for every file, with its comments and its groups of lines. Never changes meaning."""

from __future__ import annotations

import re
from collections.abc import Iterator

INDENT = "    "
_TOKEN = re.compile(r'"(?:\\.|[^"\\\n])*"|#[^\n]*|\n|[{}=,;]|[^\s{}=,;#"]+')


class _Writer:
    """Lines as they are made."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.depth = 0
        self.line: list[str] = []
        self.comments: list[str] = []
        self.blank = False  # an empty line is wanted before the next one

    def flush(self) -> None:
        """End the line that is being written."""
        if not self.line and not self.comments:
            return
        text = "".join(_spaced(self.line))
        if self.comments:
            note = "  ".join(self.comments)
            text = f"{text}  {note}" if text else note
        self.emit(text)
        self.line, self.comments = [], []

    def emit(self, text: str) -> None:
        """A whole line."""
        opened = not self.lines or self.lines[-1].split("#")[0].rstrip().endswith("{")
        if self.blank and not opened and not text.startswith("}"):
            self.lines.append("")
        self.blank = False
        self.lines.append(INDENT * self.depth + text)


def _spaced(tokens: list[str]) -> Iterator[str]:
    for at, token in enumerate(tokens):
        if at and token != ",":
            yield " "
        yield token


def fmt(text: str) -> str:
    """A text that parses, in the one spelling."""
    out = _Writer()
    newlines, fresh = 1, True  # since the last token; whether the present source line has said nothing yet
    for found in _TOKEN.finditer(text):
        token = found[0]
        if token == "\n":
            newlines += 1
            if not (out.line and out.line[-1] == ","):
                out.flush()
            if newlines > 1 and out.lines:
                out.blank = True
            fresh = True
            continue
        if token.startswith("#"):
            comment = token.rstrip()
            if out.line:
                out.comments.append(comment)
            elif not fresh and out.lines:  # behind a brace on its line
                out.lines[-1] += "  " + comment
            else:
                out.emit(comment)
        elif token == "{":
            out.line.append(token)
            out.flush()
            out.depth += 1
        elif token == "}":
            out.flush()
            out.depth = max(0, out.depth - 1)
            out.emit("}")
        elif token == ";":
            if not (out.line and out.line[-1] == ","):  # behind a comma a value goes on, as over a line end
                out.flush()
        else:
            out.line.append(token)
        newlines, fresh = 0, False
    out.flush()
    return "\n".join(out.lines) + "\n" if out.lines else ""
