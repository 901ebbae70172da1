"""Define and validate the settings of the stand-ins."""

import pydantic

__all__ = [
    'FaultsSettings',
    'LinkSettings',
    'PeerSettings',
    'PlatformSettings',
    'UpstreamSettings',
]


class _Settings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class PeerSettings(_Settings):
    """Hold the name and address of another upstream of the group."""

    name: str
    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)


class UpstreamSettings(_Settings):
    """Hold the settings of the stand-in of one upstream."""

    name: str
    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    peers: list[PeerSettings] = []
    slots: int = pydantic.Field(3, ge=1)
    connections: int = pydantic.Field(25, ge=1)
    connect_delay_ms: int = pydantic.Field(10, ge=0)
    statement_ms: float = pydantic.Field(1.0, ge=0)
    # Delay with which this upstream, as a replica, applies an entry.
    lag_ms: float = pydantic.Field(5.0, ge=0)


class PlatformSettings(_Settings):
    """Hold the settings of the platform's stand-in."""

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    # Delay before a failed or leaving instance is updated in the list.
    list_lag_ms: int = pydantic.Field(1000, ge=0)
    # SQLite file in which values survive a restart of this process; the real
    # platform replicates its values instead. Empty keeps them in memory.
    state_file: str = ''
    value_limit_bytes: int = pydantic.Field(1_000_000, ge=1)


class LinkSettings(_Settings):
    """Hold a link's name, listening port and target address."""

    name: str
    port: int = pydantic.Field(ge=1, le=65535)
    target_host: str = '127.0.0.1'
    target_port: int = pydantic.Field(ge=1, le=65535)


class FaultsSettings(_Settings):
    """Hold the settings of the fault-injecting proxy."""

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    links: list[LinkSettings] = []
