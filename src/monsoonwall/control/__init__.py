"""Send orders to model engines from one entry host at a time."""
