"""Read and check the settings of one pooling proxy."""

import re
import typing

import msgspec

from topazring.core.synchronous import ownership

__all__ = ['PoolerSettings', 'SettingsError', 'read']


class SettingsError(ValueError):
    """Error in a settings file: its name and the fault, in one line."""


# `isdecimal` accepts the digits of all scripts, any number of them.
_PORT = re.compile('[0-9]{1,5}')

# Of a resource; 0 if it is not limited.
Amount = typing.Annotated[float, msgspec.Meta(ge=0)]


class Endpoint(msgspec.Struct, frozen=True):
    """Address of a listener."""

    host: str
    port: int


class PoolerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process; unknown fields are ignored."""

    name: str
    data_centre: str
    # `host:port` each.
    caller_address: str
    ready_address: str
    store_address: str
    # None if nothing accepts orders.
    orders_address: str | None = None
    # Where other proxies ask this one for changes, and the peers that it may
    # ask when it starts.
    peer_address: str | None = None
    peers: tuple[str, ...] = ()
    # Where other proxies send requests that this one can serve.
    hop_address: str | None = None
    # The machine's share of a core, and how many times as fast that core is.
    cpu_share: Amount | None = None
    cpu_speed: Amount | None = None
    link_mbps: Amount | None = None
    memory_mb: Amount | None = None
    # Descriptors that this process may have open.
    max_descriptors: int = 1024
    # How long a leaving upstream may still be given work.
    upstream_drain_ms: int = 7000
    # Whether the platform refuses an order with a lower token than one that it
    # has seen. If it does not, how long after its sender gave it up it may
    # still carry an order out.
    checks_tokens: bool = False
    late_order_ms: typing.Annotated[int, msgspec.Meta(ge=0)] = 15_000
    # How long after its acceptance a configuration has to be in force. A watch
    # lasts as long: a watch without an answer is then detected in time, and a
    # shorter one would cost every proxy more calls.
    config_apply_ms: int = 3000
    # By how much operators accept that a quota is exceeded: a share of what it
    # allows in a window, and a number of operations.
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    # Time from the stop signal until the process is killed.
    grace_s: float = 6.0

    def weight(self) -> float:
        """Return this proxy's part of all groups, in relation to others."""
        cores = None
        if self.cpu_share:
            cores = self.cpu_share * (self.cpu_speed or 1.0)
        return ownership.weight_of(cores, self.link_mbps, self.memory_mb)


def read(path: str) -> PoolerSettings:
    """Return checked settings; raise SettingsError on any fault."""
    try:
        with open(path, 'rb') as file:
            raw = file.read()
        return msgspec.json.decode(raw, type=PoolerSettings)
    except OSError as error:
        raise SettingsError(f'{path}: cannot be read: {error}') from None
    except msgspec.MsgspecError as error:
        raise SettingsError(f'{path}: {error}') from None


def endpoint(address: str) -> Endpoint:
    """Split `host:port`; raise SettingsError if it is malformed."""
    host, colon, port = address.rpartition(':')
    if not colon or not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise SettingsError(f'{address!r} is not host:port')
    return Endpoint(host, int(port))
