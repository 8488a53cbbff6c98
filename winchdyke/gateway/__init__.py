"""The running gateway: accepts clients' requests, submits them to the scheduler, and carries out its actions.

This package does not decide where or when a request is sent. Public names: :class:`~winchdyke.gateway.daemon.Gateway` and
:func:`~winchdyke.gateway.daemon.serve`; :class:`~winchdyke.gateway.service.Service`, on which the S3 API is built;
:class:`~winchdyke.gateway.scheduler_loop.SchedulerLoop`, which the platform's gateway uses too, with
:mod:`~winchdyke.gateway.outcomes`, :mod:`~winchdyke.gateway.pool` and :mod:`~winchdyke.gateway.logs`.

May import the lower packages (configuration, discovery, membership, quotas, write-back, latency attribution, object API)
and the scheduler; only the daemon, which composes the program, imports ``admin``, ``config_rollout`` and ``s3``.
"""
