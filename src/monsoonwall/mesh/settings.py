"""Define the settings of the mesh."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MeshSettings:
    """Hold the mesh settings of one host.

    ``mesh_address`` is the listen address and ``peers`` are the seed
    addresses, all as host:port. ``platform_listing`` lets hosts also find
    each other in the platform's object store.
    """

    host_name: str
    zone: str
    region: str
    mesh_address: str
    peers: tuple[str, ...] = ()
    platform_listing: bool = True
