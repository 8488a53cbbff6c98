"""Who a client is: signatures of requests, keys and their rights. Verification is pure."""
