"""Show the whole path on stand-ins: `make demo`."""

import asyncio

from topazring.bench import fleet as fleets
from topazring.bench import plans

__all__ = ['main']


def print_step(text: str) -> None:
    """Print a step of the story."""
    print(f'- {text}')


async def run_scenario(fleet: fleets.Fleet) -> None:
    """Save, roam, read back, lose the primary, read back again."""
    print_step('started a platform, three upstreams and three proxies')
    owners = await fleet.owners_of('calc1')
    primary = await fleet.primary_of('calc1')
    print_step(f'calc1 is owned by {" and ".join(owners)}; {primary} leads it')
    cork = await fleet.session('p1', 'saves')
    await cork.write('CREATE TABLE beams (id INTEGER PRIMARY KEY, size TEXT)')
    saved = await cork.write('INSERT INTO beams (size) VALUES (?)', ['IPE300'])
    print_step(f'an engineer saved a beam through p1: {saved.outcome}')
    galway = await fleet.session('p2', 'browse', token=cork.token)
    read = await galway.read('SELECT size FROM beams')
    print_step(
        f'the session moved to p2 and read {read.rows[0][0]} from '
        f'{read.served_by}, with no state in either proxy'
    )
    await fleet.kill(primary)
    print_step(f'{primary} was killed')
    saved = await galway.write(
        'INSERT INTO beams (size) VALUES (?)', ['HEB200']
    )
    print_step(
        f'the next save waited for a new primary and was {saved.outcome} '
        f'at {saved.served_by}'
    )
    last = await fleet.session('p3', 'strict', token=galway.token)
    read = await last.read('SELECT size FROM beams ORDER BY id')
    sizes = ', '.join(row[0] for row in read.rows)
    print_step(f'the session moved to p3 and read {sizes}: nothing is lost')
    print_step('what the owners say of it:')
    for owner in owners:
        found = await fleet.get(f'{owner} operator', '/explain/calc1')
        for line in found['explanations'][-3:]:
            print(f'    {owner}: {line["what"]} ({line["why"]})')


async def run() -> None:
    """Run the demo on a fleet of its own."""
    fleet = fleets.Fleet(plans.Plan())
    try:
        await fleet.start()
        await run_scenario(fleet)
    finally:
        await fleet.close()


def main() -> None:
    """Run the demo."""
    asyncio.run(run())


if __name__ == '__main__':
    main()
