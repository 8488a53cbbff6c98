"""The fuzz targets: inputs that once failed, the corpus, and a short run with a fixed seed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "fuzz"))
INPUTS = sorted([*(ROOT / "fuzz/findings").glob("*"), *(ROOT / "fuzz/corpus").glob("*")])


@pytest.mark.parametrize("path", INPUTS, ids=[path.name for path in INPUTS])
def test_inputs_of_corpus_and_findings_pass(path):
    from target import run_input

    run_input(path.read_bytes())


@pytest.mark.parametrize(
    ("target", "corpus", "runs", "more"),
    [
        ("target.py", "corpus", 3000, ["-dict=fuzz/words.dict"]),
        ("signatures.py", "signatures", 5000, []),  # unauthenticated S3 requests
    ],
)
def test_a_short_run_with_a_fixed_seed(tmp_path, target, corpus, runs, more):
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
