"""A rival that promotes on its own, with terms granted as to any owner."""

import asyncio

from tornado import websocket

from topazring.core import grants
from topazring.core import log_positions
from topazring import key_value
from topazring import wire

CLAIMANT = 'rival'


class Rival:
    """Own control connections to the upstreams of one database."""

    def __init__(self, fleet, database, terms):
        self.fleet = fleet
        self.database = database
        self.terms = list(terms)
        self.sockets = {}
        self.promoted = 0

    async def ask(self, name, kind, term):
        """Send one control ask; return the reply."""
        socket = self.sockets.get(name)
        if socket is None:
            url = f'ws://127.0.0.1:{self.fleet.port(name)}/control'
            socket = await websocket.websocket_connect(url)
            self.sockets[name] = socket
        ask = wire.ControlAsk(1, kind, term, claimant=CLAIMANT)
        await socket.write_message(wire.encode_control(ask), binary=True)
        return wire.decode_control_reply(await socket.read_message())

    async def promote(self, names):
        """Fence a majority under the next term, and promote by the rules."""
        if not self.terms:
            return
        term = self.terms.pop(0)
        replies = await asyncio.gather(
            *(self.ask(name, 'fence', term) for name in names)
        )
        if not all(reply.accepted for reply in replies):
            return
        at = {
            name: log_positions.LogPosition(reply.log_term, reply.position)
            for name, reply in zip(names, replies, strict=True)
        }
        chosen = max(names, key=lambda name: at[name])
        led = await self.ask(chosen, 'lead', term)
        self.promoted += led.accepted

    async def close(self):
        """Close the connections."""
        for socket in self.sockets.values():
            socket.close()


async def make_rival(fleet, database):
    """Return a rival, with terms granted by compare-and-swap."""
    key = f'group/{database}'
    while True:
        found = await fleet.platform.get(key)
        record = grants.parse(found.value)
        # Above all that the owners hold, so that some of its terms win.
        above = max(term for term, _ in record.grants)
        wanted = grants.grant_terms(record, CLAIMANT, record.term, 2, 'rival')
        higher = grants.GroupRecord(
            wanted.term,
            wanted.primary,
            (*wanted.grants, (above + 5, CLAIMANT), (above + 9, CLAIMANT)),
            'rival',
        )
        written = await fleet.platform.put(key, higher.dump(), found.revision)
        if isinstance(written, key_value.Written):
            terms = grants.terms_of(higher, CLAIMANT)
            return Rival(fleet, database, terms)
