"""Parses text into statements by the grammar in ``grammar.lark``, and reports every syntax error.

A text without errors is parsed as a whole. If that fails, each line is parsed by itself and braces are
matched across lines, so that an error in one place does not hide the others.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from importlib import resources

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

from winchdyke.config.diagnostics import Diagnostic, Source, Span

MAX_DEPTH = 8
MAX_PROBLEMS = 200
ESCAPES = {'"': '"', "\\": "\\", "n": "\n", "t": "\t"}


@dataclass(frozen=True, slots=True)
class Word:
    """A word; ``quoted`` if it was written in double quotes."""

    text: str
    quoted: bool
    span: Span


Item = tuple[Word, ...]


@dataclass(frozen=True, slots=True)
class Setting:
    """``words = items``."""

    words: tuple[Word, ...]
    items: tuple[Item, ...]

    @property
    def span(self) -> Span:
        """The span of the key."""
        return self.words[0].span


@dataclass(frozen=True, slots=True)
class Block:
    """``words { body }``."""

    words: tuple[Word, ...]
    body: tuple[Statement, ...]

    @property
    def span(self) -> Span:
        """The span of the block's kind."""
        return self.words[0].span


@dataclass(frozen=True, slots=True)
class Directive:
    """A statement of words only, such as ``include "FILE"``."""

    words: tuple[Word, ...]

    @property
    def span(self) -> Span:
        """The span of the first word."""
        return self.words[0].span


Statement = Setting | Block | Directive


@cache
def _parser() -> Lark:
    grammar = resources.files("winchdyke.config").joinpath("grammar.lark").read_text(encoding="utf-8")
    return Lark(
        grammar, parser="lalr", start=["file", "line"], propagate_positions=False, maybe_placeholders=False
    )


class _Reader:
    """Converts the parse tree of one text into statements, and collects its syntax errors."""

    def __init__(self, source: Source) -> None:
        self.source = source
        self.problems: list[Diagnostic] = []
        self._line_offset = 0  # lines before the line that is parsed by itself
        self._last_statement = Span(source, 1)  # the last statement seen
        # A line that looks like the start of a block but lacks {.
        self._unopened_block: tuple[str, Span] | None = None

    def span(self, token: Token) -> Span:
        line = (token.line or 1) + self._line_offset
        column = token.column or 1
        return Span(self.source, line, column, column + len(token))

    def report(self, code: str, text: str, fix: str, span: Span, *related: tuple[str, Span]) -> None:
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(Diagnostic(code, "", text, fix, span, related=related))

    def word(self, token: Token) -> Word:
        span = self.span(token)
        if token.type != "STRING":
            return Word(str(token), False, span)
        inner = str(token)[1:-1]
        for bad in re.finditer(r"\\(.)", inner):
            if bad[1] not in ESCAPES:
                fix = 'write \\\\ for a backslash; the escapes are \\" \\\\ \\n \\t'
                self.report("bad-escape", f"\\{bad[1]} is no escape sequence", fix, span)
        return Word(re.sub(r"\\(.)", lambda found: ESCAPES.get(found[1], found[1]), inner), True, span)

    def words(self, tree: Tree[Token]) -> tuple[Word, ...]:
        return tuple(self.word(token) for token in tree.children if isinstance(token, Token))

    def setting(self, tree: Tree[Token]) -> Setting:
        words, items = tree.children
        assert isinstance(words, Tree) and isinstance(items, Tree)
        return Setting(
            self.words(words), tuple(self.words(item) for item in items.children if isinstance(item, Tree))
        )

    def body(self, tree: Tree[Token], depth: int = 0) -> tuple[Statement, ...]:
        found: list[Statement] = []
        for child in tree.children:
            assert isinstance(child, Tree)
            if child.data == "setting":
                found.append(self.setting(child))
            elif child.data == "directive":
                found.append(Directive(self.words(child.children[0])))  # type: ignore[arg-type]
            else:
                words, inner = child.children
                assert isinstance(words, Tree) and isinstance(inner, Tree)
                named = self.words(words)
                if depth >= MAX_DEPTH:
                    fix = f"nest blocks {MAX_DEPTH} deep at most; is a closing brace missing?"
                    self.report("too-deep", "blocks are nested too deep", fix, named[0].span)
                    continue
                found.append(Block(named, self.body(inner, depth + 1)))
        return tuple(found)

    # A text with syntax errors, line by line.

    def parse_line_by_line(self) -> None:
        """Report every syntax error of a text that does not parse as a whole."""
        open_blocks: list[Span] = []
        text = self.source.text
        for number, line in enumerate(text.split("\n"), 1):
            self._line_offset = number - 1
            for start, piece in _split_statements(line):
                if piece.strip() and len(self.problems) < MAX_PROBLEMS:
                    self._parse_line(" " * start + piece, number, open_blocks)
                    begin = start + len(piece) - len(piece.lstrip()) + 1
                    self._last_statement = Span(self.source, number, begin, start + len(piece.rstrip()) + 1)
        self._line_offset = 0
        for span in open_blocks[-3:]:
            self._report_unclosed_block(span, "the text ends before this block is closed")

    def _report_unclosed_block(self, span: Span, text: str) -> None:
        fix = f"put a }} after this line; the block begins at {span}"
        self.report("missing-brace", text, fix, self._last_statement, ("it begins here", span))

    def _parse_line(self, line: str, number: int, open_blocks: list[Span]) -> None:
        try:
            tree = _parser().parse(line, start="line")
        except UnexpectedInput as error:
            self._report_syntax_error(error, line, number, open_blocks)
            return
        child = tree.children[0]
        assert isinstance(child, Tree)
        begin = len(line) - len(line.lstrip()) + 1
        if child.data == "opening":
            words = child.children[0]
            assert isinstance(words, Tree)
            first = words.children[0]
            assert isinstance(first, Token)
            is_top_level = bool(open_blocks) and open_blocks[-1].column >= (first.column or 1)
            if is_top_level and self._starts_top_level_block(str(first)):
                # A top-level kind of block begins inside another block: the closing brace before it is missing.
                self._report_unclosed_block(open_blocks.pop(), "a new block begins before this one is closed")
            self._unopened_block = None
            open_blocks.append(self.span(first))
        elif child.data in ("closing", "ending"):
            self._close_block(line, number, begin, open_blocks)
        elif child.data == "directive" and not open_blocks and self._starts_top_level_block(line.split()[0]):
            span = Span(self.source, number, begin, len(line.rstrip()) + 1)
            self._unopened_block = " ".join(line.split()), span

    def _close_block(self, line: str, number: int, begin: int, open_blocks: list[Span]) -> None:
        here = Span(self.source, number, begin, begin + len(line.strip()))
        if open_blocks:
            open_blocks.pop()
        elif self._unopened_block is not None:
            words, span = self._unopened_block
            text = f"this block is closed below but has no {{: {words!r}"
            self.report("no-brace", text, f"write {words} {{", span, ("its closing brace", here))
        else:
            fix = "remove it, or add the opening { that is missing above"
            self.report("extra-brace", "this } closes nothing", fix, here)
        self._unopened_block = None

    @staticmethod
    def _starts_top_level_block(kind: str) -> bool:
        from winchdyke.config.schema import BLOCKS

        return kind in BLOCKS or kind in ("template", "defaults")

    def _report_syntax_error(
        self, error: UnexpectedInput, line: str, number: int, open_blocks: list[Span]
    ) -> None:
        column = max(1, getattr(error, "column", 1) or 1)
        masked = re.sub(r'"(?:\\.|[^"\\])*"', lambda found: "x" * len(found[0]), line.split("#")[0])
        if "{" in masked and "}" not in masked:
            open_blocks.append(Span(self.source, number, len(line) - len(line.lstrip()) + 1, len(line) + 1))
        if masked.count('"') % 2:
            at = line.rindex('"') + 1
            span = Span(self.source, number, at, len(line) + 1)
            self.report("open-string", "this string is never closed", 'end it with " on the same line', span)
            return
        span = Span(self.source, number, column, column + 1)
        if isinstance(error, UnexpectedCharacters):
            self.report(
                "bad-sign",
                f"unexpected character {line[column - 1 : column]!r}",
                "remove it, or put the word in double quotes",
                span,
            )
            return
        token = getattr(error, "token", None)
        kind = getattr(token, "type", "")
        if kind == "$END":
            span = Span(self.source, number, max(1, len(line.rstrip())), len(line.rstrip()) + 1)
            ends = masked.rstrip()[-1:]
            if ends == "=":
                self.report(
                    "no-value", "there is no value after =", "write the value, as in key = 400ms", span
                )
            else:
                self.report(
                    "unfinished",
                    f"the line ends after {ends!r}",
                    "complete the line, or remove it",
                    span,
                )
        elif kind == "EQUAL":
            text = "a second = on one line" if masked.count("=") > 1 else "there is no key before ="
            self.report("extra-equals", text, "write one setting a line; quote a value that contains =", span)
        elif kind == "LBRACE":
            text = "a { can't be part of a setting"
            self.report(
                "stray-brace",
                text,
                "begin a block with its kind and name, as in class fetch {, with no = before {",
                span,
            )
        elif kind == "COMMA":
            self.report(
                "stray-comma", "a comma with no value before it", "separate values by single commas", span
            )
        else:
            self.report(
                "syntax",
                "this is neither a setting nor a block nor a directive",
                "write key = value, or kind name {",
                span,
            )


def _split_statements(line: str) -> Iterator[tuple[int, str]]:
    """Yield the parts of a line between semicolons, each with its start column from 0."""
    start, quoted, at = 0, False, 0
    while at < len(line):
        char = line[at]
        if char == "\\" and quoted:
            at += 1
        elif char == '"':
            quoted = not quoted
        elif char == "#" and not quoted:
            break
        elif char == ";" and not quoted:
            yield start, line[start:at]
            start = at + 1
        at += 1
    yield start, line[start:at] if not quoted else line[start:]


def parse(source: Source) -> tuple[tuple[Statement, ...], list[Diagnostic]]:
    """Return the statements and syntax errors of a text; no statements if it does not parse as a whole."""
    reader = _Reader(source)
    depth = _max_brace_depth(source.text)
    if depth > 10 * MAX_DEPTH:
        reader.report(
            "too-deep",
            f"blocks are nested {depth} deep",
            f"nest them {MAX_DEPTH} deep at most",
            Span(source, 1),
        )
        return (), reader.problems
    try:
        tree = _parser().parse(source.text, start="file")
    except UnexpectedInput:
        reader.parse_line_by_line()
        if not reader.problems:  # each line parses by itself: the error spans several lines
            reader.report(
                "syntax",
                "a brace or statement is split across lines",
                "write one statement a line",
                Span(source, 1),
            )
        return (), reader.problems
    inner = tree.children[0]
    assert isinstance(inner, Tree)
    return reader.body(inner), reader.problems


def _max_brace_depth(text: str) -> int:
    """Return the maximum nesting depth of braces outside strings and comments."""
    depth = most = 0
    for found in re.finditer(r'"(?:\\.|[^"\\\n])*"|#[^\n]*|[{}]', text):
        if found[0] == "{":
            depth += 1
            most = max(most, depth)
        elif found[0] == "}":
            depth -= 1
    return most
