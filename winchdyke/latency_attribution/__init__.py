"""Latency attribution: measures in which phases each request spent its time, and what caused each wait in the queue.

A gateway records each request's phases and waits (:mod:`.recorder`, with :mod:`.queue_observer` reading the scheduler's
state) and writes them to a durable ledger (:mod:`.ledger_writer`, :mod:`.segments`); tools read ledgers (:mod:`.ledger`),
compact them (:mod:`.compaction`), merge those of several gateways (:mod:`.merge`) and produce reports (:mod:`.summary`,
:mod:`.report`, :mod:`.page`, :mod:`.live`).

Public names: :class:`~.records.Account`, :class:`~.recorder.Recorder`, :class:`~.queue_observer.QueueObserver`,
:class:`~.ledger_writer.LedgerWriter`, :func:`~.ledger.read_accounts`, :func:`~.summary.summarize`,
:class:`~.errors.LedgerError`.

Allowed imports from other packages: :mod:`winchdyke.durable_files`, and the scheduler's state in :mod:`.queue_observer`
alone.
"""
