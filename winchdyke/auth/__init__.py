"""Authentication of S3 clients: access keys with their rights, and verification of signed requests (pure)."""
