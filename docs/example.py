"""Speak the callers' protocol by hand, against stand-ins."""

import asyncio
import json

from tornado import websocket

from topazring.bench import fleet as fleets
from topazring.bench import plans
from topazring import client


async def ask(socket, frame: dict) -> dict:
    """Send a frame, print it with its answer."""
    await socket.write_message(json.dumps(frame))
    answer = json.loads(await socket.read_message())
    print(json.dumps(frame)[:76])
    served = answer.get('served_by', '')
    told = f', served by {served}' if served else ''
    print(f'  -> {answer["outcome"]}{told} {answer.get("rows", "")}')
    return answer


async def talk(url: str) -> None:
    """Save a beam and read it back."""
    socket = await websocket.websocket_connect(url)
    hello = {
        'type': 'hello',
        'id': 1,
        'organisation': 'ballinure',
        'key': 'ballinure-key',
        'database': 'calc1',
        'profile': 'saves',
    }
    await ask(socket, hello)
    for number, (sql, values) in enumerate(
        (
            ('CREATE TABLE beams (size TEXT)', []),
            ('INSERT INTO beams VALUES (?)', ['IPE300']),
        )
    ):
        write = {
            'type': 'write',
            'id': 2 + number,
            'request_id': client.new_request_id(),
            'statement': sql,
            'parameters': values,
        }
        await ask(socket, write)
    read = {'type': 'read', 'id': 4, 'statement': 'SELECT size FROM beams'}
    await ask(socket, read)
    socket.close()


async def main() -> None:
    """Run on a fleet of its own."""
    fleet = fleets.Fleet(plans.Plan())
    try:
        await fleet.start()
        await talk(fleet.url('p1'))
    finally:
        await fleet.close()


if __name__ == '__main__':
    asyncio.run(main())
