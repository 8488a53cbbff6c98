"""Who waited for whom: every request's time in spans, every wait with its cause, a durable ledger, and the report."""
