"""Writes values as text in the configuration language (``config convert``); parsed again, they are equal."""

from __future__ import annotations

from winchdyke.config.loading import Values, default_value
from winchdyke.config.schema import BLOCKS
from winchdyke.config.types import quoted


def serialize(values: Values, heading: str = "") -> str:
    """Return all values that differ from the built-in defaults as text, in the order of the schema."""
    parts = [f"# {heading}\n"] if heading else []
    for kind, known in BLOCKS.items():
        for name, keys in sorted(
            (name, keys) for (block_kind, name), keys in values.items() if block_kind == kind
        ):
            lines = []
            for key, rule in known.keys.items():
                value = keys.get(key)
                if value is None or (rule.default is not None and value == default_value(rule)):
                    continue
                lines.append(f"    {key} = {rule.type.show(value)}\n")
            if lines or known.name is not None:
                title = f"{kind} {quoted(name)}" if name else kind
                parts.append(f"{title} {{\n{''.join(lines)}}}\n")
    return "\n".join(parts)
