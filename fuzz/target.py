"""What is fuzzed: lexer, parser, checker and formatter of the configuration language, on any text.

    scripts/fuzz [SECONDS]      coverage-guided, by atheris; what it finds is kept in fuzz/findings

``one`` is the whole of it, and needs no fuzzer: a crash, a broken promise or a run past its bound raises.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).parent
BOUND_S = 2.0


def one(data: bytes) -> None:
    """Hold one input against what the language promises."""
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
        made = fmt(text)
        again, wrong = parse(Source("f", made))
        assert not wrong, "what was formatted does not parse"
        assert len(again) == len(statements), "formatting changed the statements"
        assert fmt(made) == made, "formatting is not done once"
    try:
        loaded = loading.load_text(text, "f", {})
    except ConfigError as error:
        assert error.problems, "refused without a reason"
        for problem in error.problems:
            assert problem.fix and problem.text, f"no remedy: {problem}"
            assert problem.render()
    else:
        hash(loaded.config)
    took = time.monotonic() - began
    assert took < BOUND_S, f"{took:.1f} s for {len(data)} bytes"


def main() -> None:
    import atheris

    with atheris.instrument_imports(include=["winchdyke.config"]):
        import winchdyke.config.fmt
        import winchdyke.config.loading  # noqa: F401
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
