"""Keep streams alive when the hosts that carry them go."""
