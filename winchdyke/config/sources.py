"""Reads settings files and the files they include, with limits on their size and number."""

from __future__ import annotations

import glob
import os
import stat
from pathlib import Path

from winchdyke.config.diagnostics import Diagnostic, Source, Span
from winchdyke.config.syntax import Block, Directive, Statement, parse

MAX_FILE_BYTES, MAX_FILES, MAX_TOTAL_LENGTH = 8 << 20, 500, 32 << 20
READ_ATTEMPTS = 3


class UnreadableFileError(Exception):
    """A file that can't be read or decoded: diagnostic code, problem, fix, and place in the file."""

    def __init__(self, code: str, text: str, fix: str, line: int = 1, column: int = 1) -> None:
        super().__init__(text)
        self.code, self.fix, self.line, self.column = code, fix, line, column


def read(path: Path) -> str:
    """Return a file's text with LF line ends and without a byte-order mark. Raises UnreadableFileError."""
    try:
        for _ in range(READ_ATTEMPTS):
            with path.open("rb") as file:
                before = os.fstat(file.fileno())
                if before.st_size > MAX_FILE_BYTES:
                    text = f"is {before.st_size >> 20} MiB; {MAX_FILE_BYTES >> 20} MiB is the most"
                    raise UnreadableFileError("too-large", text, "split it, and include the parts")
                data = file.read(MAX_FILE_BYTES + 1)
                after = os.fstat(file.fileno())
            if not stat.S_ISREG(before.st_mode) and len(data) <= MAX_FILE_BYTES:
                return decode_text(data)  # a pipe has no size to compare
            if (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size) and len(
                data
            ) == after.st_size:
                return decode_text(data)
    except OSError as error:
        raise UnreadableFileError(
            "unreadable", f"can't be read: {error.strerror}", "check the path and its permissions"
        ) from error
    raise UnreadableFileError(
        "changing",
        "changes while it is being read",
        "write a new file beside it and rename that; then try again",
    )


def decode_text(data: bytes) -> str:
    """Decode UTF-8 and normalize line ends.

    Raises UnreadableFileError on other encodings and control characters.
    """
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        raise UnreadableFileError("not-utf8", "is UTF-16, not UTF-8", "save it as UTF-8")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        raise UnreadableFileError(
            "not-utf8", f"byte 0x{data[error.start]:02x} is not UTF-8", "save it as UTF-8", line, column
        ) from error
    text = text.replace("\r\n", "\n").replace("\r", "\n")
    for number, line_text in enumerate(text.split("\n"), 1):
        if bad := next(
            (at for at, char in enumerate(line_text) if (char < " " and char != "\t") or char == "\x7f"), None
        ):
            shown = f"U+{ord(line_text[bad]):04X}"
            raise UnreadableFileError(
                "control", f"a control character ({shown})", "remove it", number, bad + 1
            )
        if line_text and (line_text[0] < " " and line_text[0] != "\t"):
            raise UnreadableFileError(
                "control", f"a control character (U+{ord(line_text[0]):04X})", "remove it", number, 1
            )
    return text


class SourceLoader:
    """Reads a settings file and all files it includes into one list of statements.

    Mistakes raise no exception: they are added to ``problems``, and reading continues with the next statement or file.

    Attributes:
        problems: The mistakes found in the files and their includes.
        statements: The statements of all files except includes, each file's at the place where it is included.
        sources: The texts that were parsed, in the order of parsing.
    """

    def __init__(self) -> None:
        self.problems: list[Diagnostic] = []
        self.statements: list[Statement] = []
        self.sources: list[Source] = []
        self._sources_by_path: dict[Path, Source] = {}  # by resolved path; also files that can't be read
        self._total_length = 0  # length of all texts, in characters
        self._root_directory = Path()  # the main file's directory; includes must not lead out of it

    def load(self, path: Path, text: str | None = None) -> None:
        """Read a file and the files it includes; adds to ``statements``, ``sources`` and ``problems``.

        ``text``: the file's content, if it was read before. Included files must be in the file's directory or below it.
        """
        self._root_directory = path.parent.resolve()
        self._load_file(path, (), None, text)

    def load_text_source(self, text: str, file: str) -> None:
        """Parse a text that does not come from a file; an include in it is a problem. ``file``: its name in messages."""
        self._load_source(Source(file, text), (), False)

    def _report(self, code: str, text: str, fix: str, span: Span, *related: tuple[str, Span]) -> None:
        self.problems.append(
            Diagnostic(
                code,
                "include" if related or span.source.text else "",
                text,
                fix,
                span,
                related=related,
            )
        )

    def _load_file(
        self, path: Path, stack: tuple[Path, ...], at: Span | None, text: str | None = None
    ) -> None:
        """Load a file once. ``stack``: the files that include it, outermost first; ``at``: the include, None for the main file."""
        real = path.resolve()
        chain = () if at is None else (*at.source.chain, (at.source.file, at.line))
        source = Source(str(path), "", chain)
        if real in stack:
            assert at is not None
            names = [
                _short(path_name, self._root_directory) for path_name in (*stack[stack.index(real) :], real)
            ]
            self._report(
                "include-loop",
                f"includes form a loop: {' -> '.join(names)}",
                "remove one of these includes",
                at,
            )
            return
        if real in self._sources_by_path:
            return  # included by several files: read once
        if at is not None and not real.is_relative_to(self._root_directory):
            text = f"{path.name} is outside {self._root_directory}"
            self._report(
                "outside",
                text,
                "include only files in the directory of the main file; symbolic links must not lead out of it",
                at,
            )
            return
        if len(self._sources_by_path) >= MAX_FILES:
            assert at is not None
            self._report("too-many", f"more than {MAX_FILES} files are included", "merge some of them", at)
            return
        try:
            text = read(path) if text is None else text
            self._total_length += len(text)
            if self._total_length > MAX_TOTAL_LENGTH:
                raise UnreadableFileError(
                    "too-large",
                    f"all files together are over {MAX_TOTAL_LENGTH >> 20} MiB",
                    "include fewer or smaller files",
                )
        except UnreadableFileError as error:
            place = at or Span(source, error.line, error.column, error.column + 1)
            if error.code in ("not-utf8", "control"):
                place = Span(source, error.line, error.column, error.column + 1)
            self.problems.append(Diagnostic(error.code, str(path), str(error), error.fix, place))
            self._sources_by_path[real] = source
            return
        source = Source(str(path), text, chain)
        self._sources_by_path[real] = source
        self._load_source(source, (*stack, real), True)

    def _load_source(self, source: Source, stack: tuple[Path, ...], may_include: bool) -> None:
        """Parse a source and load the files that it includes. ``stack``: the source's file and the files that include it."""
        self.sources.append(source)
        statements, problems = parse(source)
        self.problems += problems
        for statement in statements:
            if isinstance(statement, Directive) and statement.words[0].text == "include":
                self._include(statement, stack, may_include)
            else:
                if isinstance(statement, Block):
                    self._reject_inner_includes(statement)
                self.statements.append(statement)

    def _reject_inner_includes(self, block: Block) -> None:
        for inner in block.body:
            if isinstance(inner, Directive) and inner.words[0].text == "include":
                self._report(
                    "include-inside", "include is inside a block", "move it out of all blocks", inner.span
                )

    def _include(self, statement: Directive, stack: tuple[Path, ...], may_include: bool) -> None:
        """Load the file, or the files of a pattern in the order of their paths, that an include names."""
        span = statement.span
        if len(statement.words) != 2:
            self._report("bad-include", "include takes one path", 'write include "conf.d/*.conf"', span)
            return
        path_word = statement.words[1]
        if not may_include:
            self._report(
                "bad-include", "only a file can include files", "write the settings to a file", path_word.span
            )
            return
        here = Path(span.source.file).parent
        if any(char in path_word.text for char in "*?["):
            found = sorted(glob.glob(str(here / path_word.text)))
            if not found:
                self._report(
                    "no-match",
                    f"{path_word.text!r} matches no file",
                    "correct the pattern, or remove the include",
                    path_word.span,
                )
            for path_name in found:
                self._load_file(Path(path_name), stack, path_word.span)
            return
        self._load_file(here / path_word.text, stack, path_word.span)


def _short(path: Path, root: Path) -> str:
    return str(path.relative_to(root)) if path.is_relative_to(root) else str(path)
