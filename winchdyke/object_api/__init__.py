"""The object API: routes, ranges, listings and answers. Parsing is pure."""
