"""The error that a gateway raises if it can't start."""

from __future__ import annotations


class StartError(Exception):
    """The gateway could not start; the text gives the reason and the setting to check."""
