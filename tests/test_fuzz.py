"""The fuzz targets: inputs that once failed, the corpus, and changed copies of it for a fixed seed."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "fuzz"))

from mutations import mutated, read_words  # noqa: E402

INPUTS = sorted([*(ROOT / "fuzz/findings").glob("*"), *(ROOT / "fuzz/corpus").glob("*")])


@pytest.mark.parametrize("path", INPUTS, ids=[path.name for path in INPUTS])
def test_inputs_of_corpus_and_findings_pass(path):
    from target import run_input

    run_input(path.read_bytes())


@pytest.mark.parametrize(
    ("target", "run_name", "corpus", "dictionary", "count"),
    [
        ("target", "run_input", "corpus", "words.dict", 15_000),
        ("signatures", "run_input", "signatures", None, 25_000),  # unauthenticated S3 requests
        ("datagrams", "fuzz_one_input", "datagrams", None, 5_000),  # unauthenticated datagrams of members
    ],
)
def test_changed_inputs_of_a_fixed_seed_pass(target, run_name, corpus, dictionary, count):
    """Five times as many inputs as the fuzzer was given here, since these are not guided by coverage; scripts/fuzz has it."""
    run = getattr(importlib.import_module(target), run_name)
    inputs = [path.read_bytes() for path in sorted((ROOT / "fuzz" / corpus).iterdir())]
    words = read_words(ROOT / "fuzz" / dictionary) if dictionary else []
    ran = 0
    for data in mutated(inputs, words, seed=1, count=count, max_bytes=2048):
        try:
            run(data)
        except Exception as error:
            error.add_note(f"input {ran} of seed 1: {data!r}")
            raise
        ran += 1
    assert ran == count


def test_changed_inputs_are_the_same_for_each_seed_and_use_the_dictionary():
    words = read_words(ROOT / "fuzz/words.dict")
    assert b"include" in words

    def inputs(seed):
        return list(mutated([b"some text", b"another text"], words, seed, 500, 100))

    assert inputs(1) == inputs(1) != inputs(2)
    assert max(map(len, inputs(1))) <= 100
    assert len(set(inputs(1))) > 450
    assert any(word in data for data in inputs(1) for word in words if len(word) > 5)
