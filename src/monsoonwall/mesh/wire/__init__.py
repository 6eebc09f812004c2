"""Contain the generated gRPC messages and services of the mesh."""
