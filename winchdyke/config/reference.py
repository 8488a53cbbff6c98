"""``docs/config.md``, made from the schema's own descriptions, so that it can't drift."""

from __future__ import annotations

from winchdyke.config.schema import BLOCKS, NOT_GIVEN, RESERVED_WORDS, Key
from winchdyke.config.types import BYTES_PER_UNIT, MS_PER_UNIT, Many, OneOf, Type


def _type(kind: Type) -> str:
    if isinstance(kind, Many):
        return f"several of {_type(kind.of)}"
    if isinstance(kind, OneOf):
        return ", ".join(f"`{word}`" for word in kind.allowed)
    return kind.label


def _default(rule: Key) -> str:
    if rule.default is None:
        return "must be given"
    return "none" if rule.default in (NOT_GIVEN, '""') else f"`{rule.default}`"


def page() -> str:
    """The page."""
    lines = [
        "# Settings: reference", "",
        "Made by `winchdyke config reference` from the program's own table of settings; a test keeps the two the same.",
        "How the language works, and your first ten lines: [config-language.md](config-language.md).", "",
        f"Units of time: {', '.join(MS_PER_UNIT)}. Units of size: {', '.join(BYTES_PER_UNIT)}. Rates are `units/s`, shares `%`.",
        f"Words of the language that can't be names: {', '.join(f'`{word}`' for word in RESERVED_WORDS)}, and the kinds below.", "",
    ]  # fmt: skip
    for kind, block in BLOCKS.items():
        name = f" {block.name.label.upper()}" if block.name is not None else ""
        needed = " At least one is needed." if block.required else ""
        lines += [f"## `{kind}{name} {{ }}`", "", block.doc + needed, ""]
        lines += ["| key | type | default | means |", "| --- | --- | --- | --- |"]
        lines += [
            f"| `{key}` | {_type(rule.type)} | {_default(rule)} | {rule.doc} |"
            for key, rule in block.keys.items()
        ]
        lines.append("")
    return "\n".join(lines)
