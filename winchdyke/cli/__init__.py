"""The command line: ``winchdyke``, one file for each sub-command."""
