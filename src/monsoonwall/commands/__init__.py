"""Implement the subcommands of the command line."""
