"""The commands of the command line, by what they are for."""
