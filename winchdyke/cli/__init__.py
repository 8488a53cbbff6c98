"""The command line ``winchdyke``; each subcommand has its own module."""
