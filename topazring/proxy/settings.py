"""Define and validate the settings of one proxy."""

import pydantic

__all__ = ['EndpointSettings', 'LimitSettings', 'ProxySettings']


class _Settings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


Port = pydantic.conint(ge=1, le=65535)


class EndpointSettings(_Settings):
    """Host and port of a listening endpoint."""

    host: str = '127.0.0.1'
    port: Port


class LimitSettings(_Settings):
    """Resource limits of one proxy."""

    message_bytes: int = pydantic.Field(1_000_000, ge=1024)
    sessions: int = pydantic.Field(20_000, ge=1)
    requests_a_session: int = pydantic.Field(64, ge=1)
    # Maximum number of requests queued for one database at this owner.
    queue: int = pydantic.Field(400, ge=1)
    # Maximum time to wait for open transactions during shutdown.
    drain_ms: int = pydantic.Field(10_000, ge=0)


class ProxySettings(_Settings):
    """Settings of one proxy."""

    name: str = pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
    region: str
    data_centre: str
    host: str = '127.0.0.1'
    caller_port: Port
    hop_port: Port
    gossip_port: Port
    operator_port: Port
    platform: EndpointSettings
    # Gossip endpoints to contact for updates while the platform's service is
    # unavailable.
    seeds: list[EndpointSettings] = []
    # Addresses of upstreams, by name, that this proxy uses in place of the
    # configured ones.
    routes: dict[str, EndpointSettings] = {}
    owners_a_database: int = pydantic.Field(2, ge=1, le=5)
    heartbeat_ms: int = pydantic.Field(200, ge=20, le=5000)
    limits: LimitSettings = LimitSettings()
