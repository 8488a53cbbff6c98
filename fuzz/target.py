"""Fuzzes lexer, parser, checker and formatter of the configuration language with arbitrary text.

    scripts/fuzz [SECONDS]      coverage-guided, by atheris; failing inputs are stored in fuzz/findings

:func:`run_input` needs no fuzzer. A crash, a violated property or a run beyond the time limit raises.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).parent
MAX_SECONDS = 2.0


def run_input(data: bytes) -> None:
    """Run one input, and check the properties that the language guarantees."""
    from winchdyke.config import ConfigError, loading
    from winchdyke.config.diagnostics import Source
    from winchdyke.config.fmt import fmt
    from winchdyke.config.sources import UnreadableFileError, decode_text
    from winchdyke.config.syntax import parse

    began = time.monotonic()
    try:
        text = decode_text(data)
    except UnreadableFileError:
        return
    statements, problems = parse(Source("f", text))
    if not problems:
        formatted = fmt(text)
        formatted_statements, format_problems = parse(Source("f", formatted))
        assert not format_problems, "the formatted text does not parse"
        assert len(formatted_statements) == len(statements), "formatting changed the statements"
        assert fmt(formatted) == formatted, "formatting is not idempotent"
    try:
        loaded = loading.load_text(text, "f", {})
    except ConfigError as error:
        assert error.problems, "rejected without a problem"
        for problem in error.problems:
            assert problem.fix and problem.text, f"no text or no fix: {problem}"
            assert problem.render()
    else:
        hash(loaded.config)
    seconds = time.monotonic() - began
    assert seconds < MAX_SECONDS, f"{seconds:.1f} s for {len(data)} bytes"


def main() -> None:
    import atheris

    with atheris.instrument_imports(include=["winchdyke.config"]):
        import winchdyke.config.fmt
        import winchdyke.config.loading  # noqa: F401
    atheris.Setup(sys.argv, run_input)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
