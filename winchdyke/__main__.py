"""Runs the command line interface: ``python -m winchdyke``."""

from winchdyke.cli.main import main

if __name__ == "__main__":
    main(prog_name="winchdyke")
