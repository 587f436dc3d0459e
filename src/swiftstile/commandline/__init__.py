"""Commands of the command line interface."""
