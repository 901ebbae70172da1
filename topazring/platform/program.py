"""Run a pooling proxy on the platform."""

import asyncio
import os
import sys

from topazring.platform import caller_codec
from topazring.platform import orders
from topazring.platform import records
from topazring.platform import store
from topazring.platform import upstream_codec
from topazring.pooler import ports
from topazring.pooler import process
from topazring.pooler import settings

__all__ = ['main', 'make_adapter']

SETTINGS_VARIABLE = 'TOPAZRING_SETTINGS'
READY_PATH = '/-/ready'
EXIT_BAD_SETTINGS = 2


def make_adapter(config: settings.PoolerSettings) -> ports.Adapter:
    """Return the adapter with the platform's codecs and clients."""
    return ports.Adapter(
        caller_codec.CallerCodec(),
        upstream_codec.UpstreamCodec(),
        store.StoreClient(config.store_address),
        orders.OrdersClient(config.orders_address),
        records.decode,
        records.redact,
        READY_PATH,
    )


async def _run(config: settings.PoolerSettings) -> None:
    await process.serve(config, make_adapter(config))


def main() -> None:
    """Read the settings file written by the platform and run the proxy."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        config = settings.read(path)
    except settings.SettingsError as error:
        print(f'topazring: {error}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(_run(config))
