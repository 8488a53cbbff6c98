"""The error of latency attribution."""


class LedgerError(Exception):
    """A ledger that can't be used at all; the text says what is wrong and where."""
