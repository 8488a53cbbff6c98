"""Which gateways run: SWIM membership with Lifeguard's extensions, shared among gateways. Off unless the settings name peers.

No other part's safety rests on a membership view. Public: :class:`~winchdyke.membership.agent.MembershipAgent` (runs it),
:class:`~winchdyke.membership.view.MembershipView` (what readers get), :class:`~winchdyke.membership.errors.MembershipError`,
and for simulations :class:`~winchdyke.membership.swim.SwimProtocol` with its events. May import ``config``, ``admin.keys`` and
``durable_files``; only ``agent``, ``transport``, ``shared_keys`` and ``member_cache`` do I/O.
"""
