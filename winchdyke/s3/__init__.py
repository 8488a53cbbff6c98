"""The S3 dialect of the object API: requests and answers as S3 clients speak them; every step goes through the scheduler."""
