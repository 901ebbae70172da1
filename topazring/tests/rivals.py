"""A rival of the owners that promotes with terms granted as to an owner."""

import asyncio

from tornado import websocket

from topazring.core import grants
from topazring.core import log_positions
from topazring import key_value
from topazring import wire

CLAIMANT = 'rival'


class Rival:
    """Promote primaries over control connections to one database."""

    def __init__(self, fleet, database, terms):
        self.fleet = fleet
        self.database = database
        self.terms = list(terms)
        self.sockets = {}
        self.promoted = 0

    async def send_request(self, name, kind, term):
        """Send one control request; return the reply."""
        socket = self.sockets.get(name)
        if socket is None:
            url = f'ws://127.0.0.1:{self.fleet.port(name)}/control'
            socket = await websocket.websocket_connect(url)
            self.sockets[name] = socket
        request = wire.ControlAsk(1, kind, term, claimant=CLAIMANT)
        await socket.write_message(wire.encode_control(request), binary=True)
        return wire.decode_control_reply(await socket.read_message())

    async def promote(self, names):
        """Fence a majority, given by name, and promote one of it.

        Use the next granted term. By the rules for owners, promote only if
        all accept the fence, and choose the highest log position.
        """
        if not self.terms:
            return
        term = self.terms.pop(0)
        replies = await asyncio.gather(
            *(self.send_request(name, 'fence', term) for name in names)
        )
        if not all(reply.accepted for reply in replies):
            return
        positions = {
            name: log_positions.LogPosition(reply.log_term, reply.position)
            for name, reply in zip(names, replies, strict=True)
        }
        chosen = max(names, key=lambda name: positions[name])
        lead_reply = await self.send_request(chosen, 'lead', term)
        self.promoted += lead_reply.accepted

    async def close(self):
        """Close the control connections."""
        for socket in self.sockets.values():
            socket.close()


async def make_rival(fleet, database):
    """Return a rival whose terms were granted by compare-and-swap."""
    key = f'group/{database}'
    while True:
        current = await fleet.platform.get(key)
        record = grants.parse(current.value)
        # Two terms above all those granted to the owners, so that some of
        # the rival's terms win.
        highest_term = max(term for term, _ in record.grants)
        granted = grants.grant_terms(record, CLAIMANT, record.term, 2, 'rival')
        updated = grants.GroupRecord(
            granted.term,
            granted.primary,
            (
                *granted.grants,
                (highest_term + 5, CLAIMANT),
                (highest_term + 9, CLAIMANT),
            ),
            'rival',
        )
        written = await fleet.platform.put(
            key, updated.dump(), current.revision
        )
        if isinstance(written, key_value.Written):
            terms = grants.terms_of(updated, CLAIMANT)
            return Rival(fleet, database, terms)
