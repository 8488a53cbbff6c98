"""Versioned configuration: versions are proposed, checked, applied to a serving gateway at one instant, and rolled back.

Public names:
    ``change_log.ChangeLog``: the versions of one gateway and every step taken with them, on disk.
    ``operations.ChangeOperations``: the operations of the command line and the admin API.
    ``controller.RolloutController``: follows the change log of a serving gateway.
    ``rollout_state``, ``cutover``, ``canary_analysis``: the pure decisions of a rollout.
    ``hot_reload``: puts new settings into a running scheduler.

The package may import ``winchdyke.interface``, ``winchdyke.config``, ``winchdyke.durable_files`` and the scheduler.
"""
