"""The node list: its wire, and following it."""
