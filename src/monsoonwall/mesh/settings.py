"""Hold the settings of the mesh."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MeshSettings:
    """Hold what a host needs to meet the others; addresses are host:port.

    ``platform_listing`` lets hosts find each other in the platform's objects.
    """

    host_name: str
    zone: str
    region: str
    mesh_address: str
    peers: tuple[str, ...] = ()
    platform_listing: bool = True
