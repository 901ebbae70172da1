"""Walk through the world at random."""

import random

from topazring.core.tests import simulation as worlds

OWNERS = worlds.OWNERS
UPSTREAMS = worlds.UPSTREAMS

ACTIONS = (
    ('advance', 20),
    ('deliver', 60),
    ('replicate', 24),
    ('submit', 24),
    ('repeat', 4),
    ('transact', 12),
    ('withdraw', 1),
    ('lose', 4),
    ('suspect', 2),
    ('lie', 4),
    ('pause', 1),
    ('store', 1),
    ('restart', 1),
    ('see_owners', 2),
)


def walk(seed: int, steps: int) -> worlds.Simulation:
    """Walk at random; raise Violation when a promise is broken."""
    rng = random.Random(seed)
    world = worlds.Simulation(seed)
    world.run_without_faults(20)
    names = [name for name, _ in ACTIONS]
    weights = [weight for _, weight in ACTIONS]
    for action in rng.choices(names, weights, k=steps):
        act(world, action, rng)
    world.heal_and_check()
    return world


def act(world: worlds.Simulation, action: str, rng: random.Random) -> None:
    """Do one thing, with what it needs taken from `rng`."""
    match action:
        case 'advance':
            world.advance(rng.choice((1, 5, 20, 60, 200, 700)))
        case 'deliver':
            for _ in range(rng.randrange(1, 2 + len(world.in_transit) // 2)):
                late = rng.random() < 0.2
                world.deliver(rng.randrange(1000) if late else 0)
        case 'replicate':
            world.replicate(rng.choice(UPSTREAMS), rng.choice(UPSTREAMS))
        case 'submit':
            world.submit(
                rng.choice(OWNERS),
                rng.randrange(4),
                rng.randrange(4),
                rng.random() < 0.5,
            )
        case 'repeat':
            index = rng.randrange(1000)
            world.repeat(rng.choice(OWNERS), index, rng.random() < 0.5)
        case 'transact':
            what = rng.randrange(4)
            world.transact(rng.choice(OWNERS), rng.randrange(4), what)
        case 'withdraw':
            world.withdraw(rng.randrange(4))
        case 'lose':
            world.lose(rng.randrange(1000), rng.random() < 0.5)
        case 'suspect':
            kind = rng.choice(('refused', 'silent_new'))
            world.fail_probe(rng.choice(OWNERS), kind)
        case 'lie':
            # A false alarm: replicas and owners agree on it.
            world.reports_false_silence = not world.reports_false_silence
            for name in OWNERS:
                world.fail_probe(name, 'silent_new')
        case 'see_owners':
            world.change_owners(rng.choice(OWNERS), rng.randrange(4))
        case 'pause':
            world.pause(rng.choice(OWNERS))
        case 'store':
            world.store = rng.choice(('up', 'down', 'lossy'))
        case 'restart':
            world.restart(rng.choice(OWNERS))
