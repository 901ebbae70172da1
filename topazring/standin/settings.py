"""Check the settings of the stand-ins."""

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
    """Name another upstream of the group."""

    name: str
    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)


class UpstreamSettings(_Settings):
    """Hold the settings of one upstream's stand-in."""

    name: str
    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    peers: list[PeerSettings] = []
    slots: int = pydantic.Field(3, ge=1)
    connections: int = pydantic.Field(25, ge=1)
    connect_delay_ms: int = pydantic.Field(10, ge=0)
    statement_ms: float = pydantic.Field(1.0, ge=0)
    # How long this upstream, as a replica, takes to apply an entry.
    lag_ms: float = pydantic.Field(5.0, ge=0)


class PlatformSettings(_Settings):
    """Hold the settings of the platform's stand-in."""

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    # How far the list of instances lags behind the instances.
    list_lag_ms: int = pydantic.Field(1000, ge=0)
    # Where values outlive this process; the platform's own are replicated.
    state_file: str = ''
    value_limit_bytes: int = pydantic.Field(1_000_000, ge=1)


class LinkSettings(_Settings):
    """Name one link: where callers connect, and where it leads."""

    name: str
    port: int = pydantic.Field(ge=1, le=65535)
    target_host: str = '127.0.0.1'
    target_port: int = pydantic.Field(ge=1, le=65535)


class FaultsSettings(_Settings):
    """Hold the settings of the fault-injecting proxy."""

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    links: list[LinkSettings] = []
