"""Exceptions of latency attribution."""


class LedgerError(Exception):
    """A ledger can't be used at all; the text says what is wrong and where."""
