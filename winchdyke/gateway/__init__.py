"""The gateway: engine, attempts at stores, connections, start and stop."""
