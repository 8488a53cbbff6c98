"""The write-back log: a write-ahead log from which every acknowledged write is recovered after a crash."""
