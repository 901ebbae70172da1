"""Random walks through the simulation."""

import random

from topazring.core.tests import simulation as simulations

OWNERS = simulations.OWNERS
UPSTREAMS = simulations.UPSTREAMS

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


def walk(seed: int, steps: int) -> simulations.Simulation:
    """Run a random walk; raise Violation if a guarantee is violated."""
    rng = random.Random(seed)
    simulation = simulations.Simulation(seed)
    simulation.run_without_faults(20)
    names = [name for name, _ in ACTIONS]
    weights = [weight for _, weight in ACTIONS]
    for action in rng.choices(names, weights, k=steps):
        act(simulation, action, rng)
    simulation.heal_and_check()
    return simulation


def act(
    simulation: simulations.Simulation, action: str, rng: random.Random
) -> None:
    """Perform one action with parameters drawn from `rng`."""
    match action:
        case 'advance':
            simulation.advance(rng.choice((1, 5, 20, 60, 200, 700)))
        case 'deliver':
            for _ in range(
                rng.randrange(1, 2 + len(simulation.in_transit) // 2)
            ):
                late = rng.random() < 0.2
                simulation.deliver(rng.randrange(1000) if late else 0)
        case 'replicate':
            simulation.replicate(rng.choice(UPSTREAMS), rng.choice(UPSTREAMS))
        case 'submit':
            simulation.submit(
                rng.choice(OWNERS),
                rng.randrange(4),
                rng.randrange(4),
                rng.random() < 0.5,
            )
        case 'repeat':
            index = rng.randrange(1000)
            simulation.repeat(rng.choice(OWNERS), index, rng.random() < 0.5)
        case 'transact':
            what = rng.randrange(4)
            simulation.transact(rng.choice(OWNERS), rng.randrange(4), what)
        case 'withdraw':
            simulation.withdraw(rng.randrange(4))
        case 'lose':
            simulation.lose(rng.randrange(1000), rng.random() < 0.5)
        case 'suspect':
            kind = rng.choice(('refused', 'silent_new'))
            simulation.fail_probe(rng.choice(OWNERS), kind)
        case 'lie':
            # A false alarm on which replicas and owners agree.
            simulation.reports_false_silence = (
                not simulation.reports_false_silence
            )
            for name in OWNERS:
                simulation.fail_probe(name, 'silent_new')
        case 'see_owners':
            simulation.change_owners(rng.choice(OWNERS), rng.randrange(4))
        case 'pause':
            simulation.pause(rng.choice(OWNERS))
        case 'store':
            simulation.store_state = rng.choice(('up', 'down', 'lossy'))
        case 'restart':
            simulation.restart(rng.choice(OWNERS))
