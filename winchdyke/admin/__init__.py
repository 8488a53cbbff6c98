"""The admin API: changes asked for over a listener of its own, by people who are known by their socket or their key."""
