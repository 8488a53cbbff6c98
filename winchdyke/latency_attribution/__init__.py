"""Latency attribution: says for every request where its time went, and for every wait in a queue what caused it.

A gateway records each request's phases and waits (:mod:`.recorder`, with :mod:`.queue_observer` watching the scheduler)
and writes them to a durable ledger (:mod:`.ledger_writer`, :mod:`.segments`); tools read ledgers (:mod:`.ledger`),
compact them (:mod:`.compaction`), merge those of several gateways (:mod:`.merge`), and report (:mod:`.summary`,
:mod:`.report`, :mod:`.page`, :mod:`.live`).

Public names: :class:`~.records.Account`, :class:`~.recorder.Recorder`, :class:`~.queue_observer.QueueObserver`,
:class:`~.ledger_writer.LedgerWriter`, :func:`~.ledger.read_accounts`, :func:`~.summary.summarize`,
:class:`~.errors.LedgerError`.

May import the scheduler's state (:mod:`.queue_observer` alone) and :mod:`winchdyke.durable_files`.
"""
