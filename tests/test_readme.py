"""Tests that the embedding example in README.md runs as printed."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_readme_example_sends_its_request():
    code = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert code
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(compile(code.group(1), str(README), "exec"), {})
    assert out.getvalue() == "send r1 to disk-a\n"
