"""The gateway's error of starting."""

from __future__ import annotations


class StartError(Exception):
    """The gateway could not start; says why and which setting to look at."""
