"""Settings in INI, the older format: sections become blocks, which are checked by the same schema."""

from __future__ import annotations

import configparser
import re

from winchdyke.config.diagnostics import ConfigError, Diagnostic, Source, Span
from winchdyke.config.loading import Builder, Loaded, check_and_assemble
from winchdyke.config.schema import BLOCKS
from winchdyke.config.syntax import Block, Item, Setting, Word

MOVED_KEYS = {("gateway", "listen"): ("listener", "main", "address"), ("gateway", "log"): ("log", "", "form")}


def is_ini(text: str) -> bool:
    """Return whether a text is INI: its first line other than comments is a section header."""
    first = next(
        (
            line.strip()
            for line in text.splitlines()
            if line.strip() and not line.strip().startswith(("#", ";"))
        ),
        "",
    )
    return bool(re.match(r"\[[^]]*\]?", first))


def _find_spans(source: Source) -> dict[tuple[str, str], Span]:
    """Return the span of each section header (under an empty key) and of each key."""
    found: dict[tuple[str, str], Span] = {}
    section = ""
    for number, line in enumerate(source.text.split("\n"), 1):
        if head := re.match(r"\[([^]]+)\]", line):
            section = head[1]
            found.setdefault((section, ""), Span(source, number, 1, len(line) + 1))
        elif key := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", line):
            found.setdefault((section, key[1].lower()), Span(source, number, 1, len(key[1]) + 1))
    return found


def _parse_diagnostics(error: configparser.Error, source: Source) -> list[Diagnostic]:
    line = getattr(error, "lineno", None) or 1
    fix = ""
    if isinstance(error, configparser.DuplicateOptionError):
        text, fix = f"key {error.option!r} is given twice in [{error.section}]", "keep one"
    elif isinstance(error, configparser.DuplicateSectionError):
        text, fix = f"section [{error.section}] is given twice", "merge the two"
    elif isinstance(error, configparser.MissingSectionHeaderError):
        text, fix = "settings begin with a section such as [gateway]", "add it above"
    elif isinstance(error, configparser.ParsingError):
        text, fix = "neither [section] nor key = value", "write one of the two"
        return [Diagnostic("syntax", "", text, fix, Span(source, at, 1, 2)) for at, _ in error.errors]
    else:
        text = error.message.replace("\n", " ")
    return [Diagnostic("syntax", "", text, fix, Span(source, line, 1, 2))]


def load_text(text: str, file: str = "settings") -> Loaded:
    """Load settings from INI text. Raises ConfigError with every mistake found."""
    source = Source(file, text)
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#",), delimiters=("=",))
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        raise ConfigError(_parse_diagnostics(error, source)) from error
    places = _find_spans(source)
    blocks: dict[tuple[str, str], list[Setting]] = {}
    spans: dict[tuple[str, str], Span] = {}
    claimed: set[str] = set()
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        name = name.strip()
        at = places.get((section, ""), Span(source, 1))
        blocks.setdefault((kind, name), [])
        spans.setdefault((kind, name), at)
        for key, value in parser[section].items():
            span = places.get((section, key), at)
            into_kind, into_name, into_key = MOVED_KEYS.get((kind, key), (kind, name, key))
            into = blocks.setdefault((into_kind, into_name), [])
            spans.setdefault((into_kind, into_name), span)
            items = _items(into_kind, into_key, value.strip(), span)
            if (kind, key) == ("class", "operations"):
                # An operation belongs by default to the first class that lists it, to later ones on request.
                words = [word for item in items for word in item]
                own = tuple((word,) for word in words if word.text not in claimed)
                also = tuple((word,) for word in words if word.text in claimed)
                claimed |= {word.text for word in words}
                if also:
                    into.append(Setting((Word("also", False, span),), also))
                if also and not own:
                    continue
                items = own
            into.append(Setting((Word(into_key, False, span),), items))
    builder = Builder(ini=True)
    statements = [
        Block(
            (Word(kind, False, spans[kind, name]), *((Word(name, True, spans[kind, name]),) if name else ())),
            tuple(body),
        )
        for (kind, name), body in blocks.items()
    ]
    if statements:
        builder.add_statements(statements)  # type: ignore[arg-type]
    builder.start = Span(source, 1)
    return check_and_assemble(builder, [source])


def _items(kind: str, key: str, value: str, span: Span) -> tuple[Item, ...]:
    rule = BLOCKS[kind].keys.get(key) if kind in BLOCKS else None
    if rule is not None and rule.type.is_list:
        return tuple((Word(part, False, span),) for part in re.split(r"[,\s]+", value) if part)
    return ((Word(value, True, span),),) if value else ()
