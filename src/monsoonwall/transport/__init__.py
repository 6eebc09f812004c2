"""Exchange HTTP messages over channels that are kept or given up whole."""
