"""Lets the fuzz targets be imported where the fuzzer (atheris) is not installed, so that tests can run their inputs."""

from __future__ import annotations

import contextlib
from contextlib import AbstractContextManager


def instrumented(*packages: str) -> AbstractContextManager[object]:
    """Return a context in which imports of some packages are instrumented for the fuzzer, if it is installed."""
    try:
        import atheris
    except ModuleNotFoundError:
        return contextlib.nullcontext()
    return atheris.instrument_imports(include=list(packages))
