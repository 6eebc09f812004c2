"""Offer the subcommands of the command line."""
