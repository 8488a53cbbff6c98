"""Bounds on what a peer (a client, a store, discovery) may cost this process, each for itself and in sum.

``message_gate`` bounds the framing of one message, ``memory_account`` the memory held on behalf of all peers, ``turn_budget`` the
work for them in one turn of the event loop. May import nothing of winchdyke.
"""
