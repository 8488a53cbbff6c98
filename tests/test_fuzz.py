"""The fuzz target on what fuzzing has found, on its corpus, and for a short seeded stretch."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "fuzz"))
KEPT = sorted([*(ROOT / "fuzz/findings").glob("*"), *(ROOT / "fuzz/corpus").glob("*")])


@pytest.mark.parametrize("path", KEPT, ids=[path.name for path in KEPT])
def test_what_was_found_stays_mended(path):
    from target import one

    one(path.read_bytes())


@pytest.mark.parametrize(
    ("target", "corpus", "runs", "more"),
    [
        ("target.py", "corpus", 3000, ["-dict=fuzz/words.dict"]),
        ("signatures.py", "signatures", 5000, []),  # what strangers send to S3
    ],
)
def test_a_short_seeded_stretch(tmp_path, target, corpus, runs, more):
    command = [
        sys.executable,
        f"fuzz/{target}",
        str(tmp_path),
        f"fuzz/{corpus}",
        *more,
        "-seed=1",
        f"-runs={runs}",
    ]
    done = subprocess.run(
        [*command, "-max_len=2048", "-timeout=10", f"-artifact_prefix={tmp_path}/"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr[-2000:]
    assert f"Done {runs} runs" in done.stderr
