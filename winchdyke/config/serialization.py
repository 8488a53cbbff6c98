"""Values as text in the language: what ``config convert`` writes. Read back, it means the same."""

from __future__ import annotations

from winchdyke.config.loading import Values, default_value
from winchdyke.config.schema import BLOCKS
from winchdyke.config.types import quoted


def serialize(values: Values, heading: str = "") -> str:
    """All that differs from the built-in defaults, block by block in the order of the reference."""
    parts = [f"# {heading}\n"] if heading else []
    for kind, known in BLOCKS.items():
        for name, keys in sorted((name, keys) for (there, name), keys in values.items() if there == kind):
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
