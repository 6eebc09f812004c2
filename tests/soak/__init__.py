"""Run gateway hosts as processes and inject random faults, by seed."""
