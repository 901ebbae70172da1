"""Check the settings of one pooling proxy."""

import msgspec

__all__ = ['PoolerSettings', 'SettingsError', 'read']


class SettingsError(ValueError):
    """Name the file and the fault, in one line."""


class Endpoint(msgspec.Struct, frozen=True):
    """Say where something listens."""

    host: str
    port: int


class PoolerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the settings of one process; unknown fields are ignored."""

    name: str
    data_centre: str
    # `host:port` each.
    caller_address: str
    ready_address: str
    store_address: str
    # None where nothing takes orders.
    orders_address: str | None = None
    # Where other proxies ask this one, and whom it may ask at its start.
    peer_address: str | None = None
    peers: tuple[str, ...] = ()
    # Where other proxies send this one requests that it can serve.
    hop_address: str | None = None
    # Sockets and files that this process may have open.
    max_descriptors: int = 1024
    # How long an upstream that leaves may still be given work.
    upstream_drain_ms: int = 7000
    # How long after its acceptance a configuration has to be in force. A watch
    # lasts as long: a swallowed one is then noticed in time, and a shorter one
    # would cost every proxy more calls.
    config_apply_ms: int = 3000
    # From the signal to stop until the process is killed.
    grace_s: float = 6.0


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
    """Split `host:port`; raise SettingsError if it is none."""
    host, colon, port = address.rpartition(':')
    if not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f'{address!r} is not host:port')
    return Endpoint(host, int(port))
