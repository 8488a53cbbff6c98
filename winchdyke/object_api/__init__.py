"""The object API: routes, ranges, listings, error responses, and the protocol with stores."""
