"""Builds the typed model from statements: names, references, templates, defaults, types and cross-checks.

All errors are collected before any is raised. Every block is read into ``Values``, a flat table of (kind,
name) -> key -> value, from which ``assemble`` builds the model. The semantic diff and the serializer work on
the same table.
"""

from __future__ import annotations

import os
import re
import unicodedata
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from winchdyke import interface as api
from winchdyke.config import crosscheck, model, schema
from winchdyke.config.diagnostics import ERROR, WARNING, ConfigError, Diagnostic, Source, Span
from winchdyke.config.matching import Pattern, Route
from winchdyke.config.schema import BLOCKS, NOT_GIVEN
from winchdyke.config.sources import SourceLoader
from winchdyke.config.syntax import Block, Directive, Item, Setting, Statement, Word
from winchdyke.config.types import InvalidValueError, suggest

BlockId = tuple[str, str]  # kind and name of a block; the name is empty if the kind is unnamed
Values = dict[BlockId, dict[str, Any]]
UNSET = None
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@dataclass(frozen=True, slots=True)
class Origin:
    """The origin of a value: its place (None: built-in default), and the template or defaults block."""

    span: Span | None
    via: str = ""


@dataclass
class Loaded:
    """Valid settings, with the origin of each value and the warnings."""

    config: model.Config
    values: Values
    origins: dict[tuple[str, str, str], Origin]
    warnings: list[Diagnostic]
    sources: list[Source] = field(default_factory=list)


class Builder:
    """Reads statements into values and collects findings.

    ``ini``: the statements are INI; rates and shares need no unit.
    """

    def __init__(self, ini: bool = False, environ: Mapping[str, str] | None = None) -> None:
        self.ini = ini
        self.environ = os.environ if environ is None else environ
        self.problems: list[Diagnostic] = []
        self.values: Values = {}
        self.origins: dict[tuple[str, str, str], Origin] = {}
        self.blocks: dict[BlockId, Block] = {}
        self.named_values: dict[str, Setting] = {}
        self.templates: dict[str, Block] = {}
        self.defaults: dict[str, Block] = {}
        self.used_names: set[str] = set()
        self.start = Span(Source("settings", ""), 1)

    # Findings.

    def title(self, kind: str, name: str) -> str:
        """Return a block's title in the syntax of its file: ``[KIND NAME]`` or ``KIND NAME``."""
        return f"[{kind} {name}]".replace(" ]", "]") if self.ini else f"{kind} {name}".strip()

    def report(
        self,
        code: str,
        where: str,
        text: str,
        fix: str,
        span: Span,
        *related: tuple[str, Span],
        severity: str = ERROR,
    ) -> None:
        """Add a finding."""
        self.problems.append(Diagnostic(code, where, text, fix, span, severity, related))

    def report_value(
        self, kind: str, name: str, key: str, code: str, text: str, fix: str, severity: str = ERROR
    ) -> None:
        """Add a finding about a value, or about a block if ``key`` is empty, at the place it came from."""
        origin = self.origins.get((kind, name, key))
        block = self.blocks.get((kind, name))
        span = origin.span if origin and origin.span else block.span if block else self.start
        title = self.title(kind, name)
        where = title if not key else f"{title} {key}" if self.ini else f"{title}: {key}"
        self.report(code, where, text, fix, span, severity=severity)

    # Statements.

    def add_statements(self, statements: list[Statement] | tuple[Statement, ...]) -> None:
        """Record the blocks and named values of a file."""
        if statements:
            self.start = Span(statements[0].span.source, 1)
        for statement in statements:
            if isinstance(statement, Block):
                self._sort_block(statement)
            elif isinstance(statement, Setting):
                self._add_named_value(statement)
            else:
                self._report_directive(statement)

    def _add_named_value(self, setting: Setting) -> None:
        words = setting.words
        if words[0].text == "let" and len(words) == 2:
            name = words[1]
            if self._is_valid_name(name, "named value") and not self._is_duplicate(
                self.named_values, name.text, setting, "named value"
            ):
                self.named_values[name.text] = setting
            return
        fix = "put it in a block, or write let NAME = value for a named value"
        self.report(
            "outside-block", "", f"{words[0].text!r} is set outside of every block", fix, setting.span
        )

    def _report_directive(self, directive: Directive) -> None:
        words = directive.words
        kinds = [*BLOCKS, "template", "defaults", "include"]
        first = words[0].text
        if first in kinds and first != "include":
            fix = f"write {' '.join(word.text for word in words)} {{"
            self.report("no-brace", "", f"the {first} has no {{", fix, words[-1].span)
        else:
            self.report(
                "unknown",
                "",
                f"no statement begins with {first!r}",
                suggest(first, kinds),
                words[0].span,
            )

    def _is_duplicate(
        self, table: Mapping[Any, Any], key: object, statement: Setting | Block, what: str
    ) -> bool:
        if key not in table:
            return False
        first = table[key].span
        name = key if isinstance(key, str) else " ".join(str(part) for part in key).strip()  # type: ignore[attr-defined]
        text = f"section [{name}] is given twice" if self.ini else f"{what} {name!r} is given twice"
        self.report(
            "twice",
            "",
            text,
            f"keep one, or merge them; the first is at {first}",
            statement.span,
            ("first here", first),
        )
        return True

    def _sort_block(self, block: Block) -> None:
        kind, *rest = block.words
        if kind.text == "template":
            if len(rest) != 1:
                self.report("bad-block", "", "a template has one name", "write template NAME {", kind.span)
            elif self._is_valid_name(rest[0], "template") and not self._is_duplicate(
                self.templates, rest[0].text, block, "template"
            ):
                self.templates[rest[0].text] = block
            return
        if kind.text == "defaults":
            if len(rest) != 1 or rest[0].text not in BLOCKS:
                given = rest[0] if rest else kind
                fix = suggest(given.text, BLOCKS) if rest else "write defaults class {"
                self.report("bad-block", "", "defaults must name a kind of block", fix, given.span)
            elif not self._is_duplicate(self.defaults, rest[0].text, block, "defaults"):
                self.defaults[rest[0].text] = block
            return
        self._add_block(block, kind, rest)

    def _add_block(self, block: Block, kind: Word, rest: list[Word]) -> None:
        known = BLOCKS.get(kind.text)
        if known is None:
            what = "unknown section" if self.ini else f"{kind.text!r} is not a kind of block"
            where = self.title(kind.text, " ".join(word.text for word in rest)) if self.ini else ""
            names = BLOCKS if self.ini else [*BLOCKS, "template", "defaults"]
            self.report("unknown-block", where, what, suggest(kind.text, names), kind.span)
            return
        words = [word.text for word in rest]
        if "from" in words:
            rest = rest[: words.index("from")]
            if len(words) != len(rest) + 2:
                self.report(
                    "bad-block",
                    "",
                    "from must be followed by one template",
                    f"write {kind.text} NAME from TEMPLATE {{",
                    kind.span,
                )
                return
        where = self.title(kind.text, " ".join(words))
        if known.name is None and rest:
            text = f"[{kind.text}] takes no name" if self.ini else f"a {kind.text} block takes no name"
            self.report(
                "bad-block",
                where,
                text,
                f"write {kind.text} {{" if not self.ini else f"write [{kind.text}]",
                rest[0].span,
            )
            return
        if known.name is not None and len(rest) != 1:
            form = f"[{kind.text} NAME]" if self.ini else f"{kind.text} NAME {{"
            text = f"a {kind.text} needs a name" if not rest else f"a {kind.text} has one name"
            self.report("bad-block", where, text, f"write {form}", (rest or [kind])[-1].span)
            return
        name = ""
        if known.name is not None:
            try:
                value = known.name.read_word(rest[0])
            except InvalidValueError as error:
                self.report(error.code, where, str(error), error.fix, rest[0].span)
                return
            name = known.name.show(value) if not isinstance(value, str) else value
            if kind.text not in ("store", "volume") and not self._is_valid_name(rest[0], kind.text):
                return
        if not self._is_duplicate(self.blocks, (kind.text, name), block, kind.text):
            self.blocks[kind.text, name] = block

    def _is_valid_name(self, word: Word, what: str) -> bool:
        text = word.text
        non_ascii = next((char for char in text if ord(char) > 127), "")
        if non_ascii:
            shown = f"{non_ascii!r} (U+{ord(non_ascii):04X}, {unicodedata.name(non_ascii, 'unnamed')})"
            fix = "use only a-z, A-Z, 0-9, dots, dashes and underscores; other letters may look alike but differ"
            self.report("look-alike", "", f"the name {text!r} contains the letter {shown}", fix, word.span)
            return False
        if not _NAME.fullmatch(text):
            fix = "use up to 64 letters, digits, dots, dashes and underscores; begin with a letter or digit"
            self.report("bad-name", "", f"{text!r} is not a valid name", fix, word.span)
            return False
        if text in schema.RESERVED_WORDS or (text in BLOCKS and not self.ini):
            self.report(
                "keyword",
                "",
                f"{text!r} is a reserved word",
                f"choose another name for the {what}",
                word.span,
            )
            return False
        return True

    # Values.

    def build(self) -> None:
        """Read every block into values."""
        for block_id in self.blocks:
            self._read_block(block_id)
        for kind, known in BLOCKS.items():
            if known.name is None and (kind, "") not in self.blocks:
                self._read_block((kind, ""))
            if (
                known.required
                and known.name is not None
                and not any(block_kind == kind for block_kind, _ in self.blocks)
            ):
                form = f"[{kind} NAME]" if self.ini else f"{kind} NAME {{ ... }}"
                text = f"no {kind} is defined; at least one is required"
                self.report("missing-block", form if self.ini else kind, text, f"add {form}", self.start)
        for what, table in (("named value", self.named_values), ("template", self.templates)):
            for name, statement in table.items():
                if name not in self.used_names:
                    text, fix = f"the {what} {name!r} is never used", "use it, or remove it"
                    self.report("unused", "", text, fix, statement.span, severity=WARNING)

    def _read_block(self, block_id: BlockId) -> None:
        kind, name = block_id
        keys = BLOCKS[kind].keys
        block = self.blocks.get(block_id)
        own = self._block_settings(block, keys, block_id) if block else {}
        layers: list[tuple[dict[str, Setting], str]] = [(own, "")]
        words = [word.text for word in block.words] if block else []
        if block and "from" in words:
            chosen = block.words[-1]
            template = self.templates.get(chosen.text)
            if template is None:
                text = f"there is no template {chosen.text!r}"
                self.report(
                    "undefined",
                    self.title(kind, name),
                    text,
                    suggest(chosen.text, self.templates),
                    chosen.span,
                )
            else:
                self.used_names.add(chosen.text)
                layers.append((self._block_settings(template, keys, block_id), f"template {chosen.text}"))
        if kind in self.defaults:
            layers.append((self._block_settings(self.defaults[kind], keys, block_id), f"defaults {kind}"))
        values = self.values[block_id] = {}
        for one, other in schema.EXCLUSIVE_KEYS.get(kind, ()):
            # The closer layer wins: a volume's own shards override a pool from its defaults.
            closest = next((layer for layer, _ in layers if one in layer or other in layer), {})
            for kept, dropped in ((one, other), (other, one)):
                if kept in closest and dropped not in closest:
                    for layer, _ in layers:
                        layer.pop(dropped, None)
        for key, rule in keys.items():
            found = next(((layer[key], via) for layer, via in layers if key in layer), None)
            if found is not None:
                setting, via = found
                self.origins[kind, name, key] = Origin(setting.span, via)
                self._read_value(block_id, key, rule, setting)
            elif rule.default is None:
                if block is not None or BLOCKS[kind].required:
                    self.report_value(
                        kind,
                        name,
                        key,
                        "missing",
                        "is missing and has no default",
                        f"add {key} = {self._example(rule)}",
                    )
            else:
                self.origins[kind, name, key] = Origin(None, "built in")
                values[key] = default_value(rule)

    @staticmethod
    def _example(rule: schema.Key) -> str:
        examples = {
            "time": "400ms",
            "size": "64KiB",
            "rate": "8 units/s",
            "address": "127.0.0.1:8080",
            "shards": "0-7",
        }
        allowed = getattr(rule.type, "allowed", ())
        return examples.get(rule.type.label, allowed[0] if allowed else "...")

    def _block_settings(
        self, block: Block, keys: Mapping[str, schema.Key], block_id: BlockId
    ) -> dict[str, Setting]:
        found: dict[str, Setting] = {}
        for statement in block.body:
            span = statement.span
            title = self.title(*block_id)
            if isinstance(statement, Directive) and statement.words[0].text == "include":
                continue  # reported when the file was read
            if not isinstance(statement, Setting):
                first = statement.words[0].text
                inner = isinstance(statement, Block)
                text = (
                    f"the block {first!r} is inside a {block_id[0]} block"
                    if inner
                    else f"{first!r} has no value"
                )
                fix = "close the block above first" if inner else f"write {first} = value"
                self.report("bad-line", title, text, fix, span)
                continue
            words = statement.words
            key = words[0].text
            if len(words) != 1:
                fix = (
                    f"write {key} = {' '.join(word.text for word in words[1:])} ..."
                    if key in keys
                    else "write one word before ="
                )
                self.report(
                    "bad-key", title, f"{' '.join(word.text for word in words)!r} is not a key", fix, span
                )
            elif key not in keys:
                text = "unknown key" if self.ini else f"{key!r} is not a key of a {block_id[0]}"
                self.report(
                    "unknown-key", f"{title} {key}" if self.ini else title, text, suggest(key, keys), span
                )
            elif key in found:
                first_at = found[key].span
                text = f"key {key!r} is given twice"
                self.report(
                    "twice",
                    title,
                    text,
                    f"keep one; the first is at {first_at}",
                    span,
                    ("first here", first_at),
                )
            else:
                found[key] = statement
        return found

    def _read_value(self, block_id: BlockId, key: str, rule: schema.Key, setting: Setting) -> None:
        kind, name = block_id
        before = len(self.problems)
        items = self._expand_references(setting.items, (), setting)
        title = self.title(kind, name)
        at = f"{title} {key}" if self.ini else f"{title}: {key}"
        if len(self.problems) > before:
            return
        if not items or not all(items):
            self.report("no-value", at, "has no value", f"write {key} = {self._example(rule)}", setting.span)
            return
        try:
            value = rule.type.read(items, self.ini)
        except InvalidValueError as error:
            span = error.word.span if error.word else setting.span
            self.report(error.code, at, str(error), error.fix, span)
            return
        self.values[block_id][key] = value
        if warning := rule.type.warning(value):
            self.report(
                "doubtful",
                at,
                warning,
                "correct the value if it is not intended",
                items[0][0].span,
                severity=WARNING,
            )

    def _expand_references(
        self, items: tuple[Item, ...], through: tuple[str, ...], setting: Setting
    ) -> tuple[Item, ...]:
        """Return items with references to named values and environment variables replaced by their values."""
        if self.ini or not any(
            word.text.startswith("$") and not word.quoted for item in items for word in item
        ):
            return items
        found: list[Item] = []
        for item in items:
            if len(item) == 1 and not item[0].quoted and item[0].text.startswith("$"):
                found += self._resolve_reference(item[0], through, setting)
                continue
            words: list[Word] = []
            for word in item:
                if word.quoted or not word.text.startswith("$"):
                    words.append(word)
                    continue
                inner = self._resolve_reference(word, through, setting)
                if len(inner) > 1:
                    self.report(
                        "bad-reference",
                        "",
                        f"{word.text} has several values",
                        "write it as a value by itself",
                        word.span,
                    )
                words += inner[0] if inner else ()
            found.append(tuple(words))
        return tuple(found)

    def _resolve_reference(self, word: Word, through: tuple[str, ...], setting: Setting) -> tuple[Item, ...]:
        name = word.text[1:]
        if name.startswith("env:"):
            variable, bar, default = name[4:].partition("|")
            value = self.environ.get(variable)
            if value is None and not bar:
                fix = f"set it, or write $env:{variable}|VALUE for a default"
                self.report("no-env", "", f"the environment variable {variable!r} is not set", fix, word.span)
                return ()
            text = default if value is None else value
            return ((Word(text, True, word.span),),)
        if name not in self.named_values:
            fix = (
                suggest(name, self.named_values)
                if self.named_values
                else f"write let {name} = value at the top of a file"
            )
            self.report("undefined", "", f"there is no named value ${name}", fix, word.span)
            return ()
        self.used_names.add(name)
        if name in through:
            loop = " -> ".join(f"${each}" for each in (*through[through.index(name) :], name))
            self.report(
                "let-loop",
                "",
                f"named values form a loop: {loop}",
                "give one of them a value of its own",
                word.span,
            )
            return ()
        return self._expand_references(self.named_values[name].items, (*through, name), setting)


def default_value(rule: schema.Key) -> Any:
    if rule.default == NOT_GIVEN:
        return UNSET if not rule.type.is_list else ()
    word = Word("" if rule.default == '""' else str(rule.default), True, Span(Source("built in", ""), 1))
    return rule.type.read(((word,),))


def assemble(values: Values) -> model.Config:
    """Build the typed model from a complete table of values.

    Blocks are sorted by name; their order has no meaning.
    """

    def named(kind: str) -> list[tuple[str, dict[str, Any]]]:
        return sorted((name, keys) for (block_kind, name), keys in values.items() if block_kind == kind)

    pools = {name: keys["shards"] for name, keys in named("pool")}
    nodes = values["nodes", ""]
    host, port, path = nodes["list"]
    effects = {
        "idempotent": api.RepeatSafety.IDEMPOTENT,
        "keyed": api.RepeatSafety.IDEMPOTENCY_KEY,
        "at-most-once": api.RepeatSafety.AT_MOST_ONCE,
    }
    kinds = []
    for name, keys in named("class"):
        rules = api.RequestClass(
            name=name,
            priority_weight=keys["worth"],
            latency_objective_ms=keys["aim"],
            deadline_ms=keys["deadline"],
            late_value_ratio=keys["late_share"],
            repeat_safety=effects[keys["effect"]],
            deduplication_scope=api.DeduplicationScope(keys["scope"]),
            deduplication_window_ms=keys["memory"],
            streamed=keys["streamed"],
            in_order=keys["in_order"],
            modifies_data=keys["writes"],
        )
        unit = max(1, keys["unit_bytes"])
        kinds.append(model.ClassConfig(rules, keys["operations"], keys["also"], unit, keys["usual_units"]))
    routes = []
    for name, keys in named("route"):
        pattern = Pattern(
            name, keys["priority"], keys["volume"], keys["key"], keys["method"], keys["header"], keys["size"]
        )  # fmt: skip
        shards = keys.get("shards") or (pools[keys["pool"]] if keys["pool"] else ())
        routes.append(Route(pattern, keys["class"] or "", shards))
    return model.Config(
        gateway=model.Gateway(**values["gateway", ""]),
        listeners=tuple((name, keys["address"]) for name, keys in named("listener")),
        log=model.Log(**values["log", ""]),
        accounts=model.Accounts(**values["accounts", ""]),
        changes=model.Changes(**values["changes", ""]),
        writeback=model.WriteBack(**values["writeback", ""]),
        admin=model.Admin(**values["admin", ""]),
        fleet=model.Fleet(**{**values["fleet", ""], "seeds": values["fleet", ""]["seeds"] or ()}),
        peers=tuple((name, keys["address"]) for name, keys in named("peer")),
        s3=model.S3(**values["s3", ""]),
        tls=model.Tls(**values["tls", ""]),
        limits=model.Limits(**values["limits", ""]),
        nodes=model.Discovery(
            host,
            port,
            path,
            nodes["discovery"] == "asked",
            nodes["wait"],
            nodes["timeout"],
            nodes["keep"],
            nodes["file"],
            nodes["srv"],
            nodes["dns"],
            nodes["vanish_share"],
            nodes["hold"],
            nodes["form"] == "index",
        ),
        rules=model.Rules(**values["rules", ""]),
        kinds=tuple(kinds),
        plans=tuple(
            api.Plan(name, **{field: keys[key] for key, field in schema.PLAN_FIELDS.items()})
            for name, keys in named("plan")
        ),
        stores=tuple(
            model.Store(_address(name), keys["shard"], keys["capacity"], keys["answers_in"])
            for name, keys in named("store")
        ),
        volumes=tuple(
            model.VolumeRule(name, keys["plan"], keys["shards"] or pools[keys["pool"]], keys["gateways"])
            for name, keys in named("volume")
        ),
        routes=tuple(routes),
    )


def _address(text: str) -> model.Listen:
    host, _, port = text.rpartition(":")
    return model.Listen(host.strip("[]"), int(port))


def check_and_assemble(builder: Builder, sources: list[Source]) -> Loaded:
    """Read all values, cross-check them and build the model. Raises ConfigError with every mistake found."""
    builder.build()
    crosscheck.check(builder)
    errors = [problem for problem in builder.problems if problem.severity == ERROR]
    if errors:
        raise ConfigError(errors)
    warnings = sorted(builder.problems, key=lambda each: (each.span.source.file, each.line))
    return Loaded(assemble(builder.values), builder.values, builder.origins, warnings, sources)


def load_file(path: Path, environ: Mapping[str, str] | None = None, text: str | None = None) -> Loaded:
    """Load settings in the language from a file and its includes.

    ``text``: the file's content, if it was read before.
    """
    files = SourceLoader()
    files.load(path, text)
    return _build(files, environ)


def load_text(text: str, file: str = "settings", environ: Mapping[str, str] | None = None) -> Loaded:
    """Load settings in the language from a text."""
    files = SourceLoader()
    files.load_text_source(text, file)
    return _build(files, environ)


def _build(files: SourceLoader, environ: Mapping[str, str] | None) -> Loaded:
    builder = Builder(environ=environ)
    builder.problems += files.problems
    builder.add_statements(files.statements)
    if files.sources:
        builder.start = Span(files.sources[0], 1)
    if any(problem.severity == ERROR for problem in files.problems):
        # Statements that could not be parsed would be reported as missing, so only the errors found so far are.
        raise ConfigError([problem for problem in builder.problems if problem.severity == ERROR])
    return check_and_assemble(builder, files.sources)
