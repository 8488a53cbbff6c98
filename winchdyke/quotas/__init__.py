"""Applies a volume's rate limit to every byte of its bodies, over both protocols.

Public names:
    ``token_bucket``: the accounting, pure: ``TransferDebt``, ``QuotaExceededError``, ``units_for_bytes``, ``charge_reservation``.
    ``byte_metering``: waits for quota and charges bodies: ``ByteMeter``, ``TransferCharge``, ``MeteredSink``, ``ObjectSizes``.

The package may import ``winchdyke.http1`` and ``winchdyke.object_api``; the scheduler's quotas are passed in.
"""
