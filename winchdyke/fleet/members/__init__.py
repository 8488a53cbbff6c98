"""Membership among gateways: a state machine without I/O, what it believes of each member, and the snapshot that others read."""
