"""Changed copies of a corpus, the same for each seed: fuzzing for tests, without a fuzzer and without its guidance by coverage."""

from __future__ import annotations

import random
import re
from collections.abc import Iterator, Sequence
from pathlib import Path

MAX_CHANGES = 6  # of one input
MAX_BLOCK_BYTES = 64
INTERESTING_BYTES = bytes((0, 1, 9, 10, 13, 32, 34, 47, 48, 57, 61, 92, 127, 128, 255))
WORD_PATTERN = re.compile(r'^(?:\w+=)?"(.*)"$')


def read_words(path: Path) -> list[bytes]:
    """Return the words of a dictionary file in libFuzzer's format."""
    matches = (WORD_PATTERN.match(line.strip()) for line in path.read_text(encoding="utf-8").splitlines())
    return [match[1].encode().decode("unicode_escape").encode("latin-1") for match in matches if match]


def mutated(
    corpus: Sequence[bytes], words: Sequence[bytes], seed: int, count: int, max_bytes: int
) -> Iterator[bytes]:
    """Yield changed inputs.

    Args:
        corpus: The inputs that are changed; at least one.
        words: Words that are inserted.
        seed: Decides about all changes.
        count: How many inputs are yielded.
        max_bytes: The longest input.
    """
    rng = random.Random(seed)
    pool = [each[:max_bytes] for each in corpus]
    for _ in range(count):
        data = bytearray(rng.choice(pool))
        for _ in range(rng.randint(1, MAX_CHANGES)):
            _change(rng, data, pool, words)
        changed = bytes(data[:max_bytes])
        if rng.random() < 0.1:
            pool.append(changed)  # changes add up over the run
        yield changed


def _change(rng: random.Random, data: bytearray, pool: Sequence[bytes], words: Sequence[bytes]) -> None:
    at = rng.randint(0, len(data))
    end = min(len(data), at + rng.randint(1, MAX_BLOCK_BYTES))
    match rng.randrange(8):
        case 0:
            data[at : at + 1] = bytes((rng.randrange(256),))
        case 1:
            data[at : at + 1] = bytes((rng.choice(INTERESTING_BYTES),))
        case 2:
            del data[at:end]
        case 3:
            data[at:at] = data[at:end] * rng.randint(1, 4)
        case 4:
            data[at:at] = rng.choice(words) if words else bytes((rng.randrange(256),))
        case 5:
            other = rng.choice(pool)
            start = rng.randint(0, len(other))
            data[at:end] = other[start : start + rng.randint(1, MAX_BLOCK_BYTES)]
        case 6:
            data[at:end] = bytes(rng.randrange(256) for _ in range(rng.randint(1, 8)))
        case _:
            if at < len(data):
                data[at] ^= 1 << rng.randrange(8)
