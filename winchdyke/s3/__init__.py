"""The S3 dialect of the object API. Every operation on a store goes through the scheduler."""
