"""Settings: their grammar, their check, and the typed model that all else reads."""

from winchdyke.config.ini import ConfigError, Problem, defaults, load, parse
from winchdyke.config.model import Config

__all__ = ["Config", "ConfigError", "Problem", "defaults", "load", "parse"]
