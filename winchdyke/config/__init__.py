"""Settings: the configuration language, its checker, and the typed model that the program reads."""

from __future__ import annotations

from importlib import resources
from pathlib import Path

from winchdyke.config import ini, loading
from winchdyke.config.diagnostics import ConfigError, Diagnostic, Source, Span
from winchdyke.config.loading import Loaded
from winchdyke.config.model import Config
from winchdyke.config.sources import UnreadableFileError, read

__all__ = ["Config", "ConfigError", "Diagnostic", "Loaded", "defaults", "load", "load_all", "parse"]


def load_all(path: Path) -> Loaded:
    """Load a settings file, in the configuration language or in INI, with the origin of each value.

    Raises ConfigError with every mistake found.
    """
    try:
        text = read(path)
    except UnreadableFileError as error:
        span = Span(Source(str(path), ""), error.line, error.column, error.column + 1)
        raise ConfigError([Diagnostic(error.code, "file", str(error), error.fix, span)]) from error
    return ini.load_text(text, str(path)) if ini.is_ini(text) else loading.load_file(path, text=text)


def load(path: Path) -> Config:
    """Load a settings file. Raises ConfigError with every mistake found."""
    return load_all(path).config


def parse(text: str, file: str = "settings") -> Config:
    """Parse settings from text, in the language or in INI. Raises ConfigError with every mistake found."""
    return (ini.load_text(text, file) if ini.is_ini(text) else loading.load_text(text, file)).config


def defaults() -> str:
    """Return the text of the embedded settings, which ``winchdyke dev`` uses."""
    return resources.files("winchdyke.config").joinpath("defaults.conf").read_text(encoding="utf-8")
