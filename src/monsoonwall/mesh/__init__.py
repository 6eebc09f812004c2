"""Replicate small records between entry hosts by gossip."""
