"""Run every experiment and slope; print Markdown: `make measure`."""

import argparse
import asyncio

from topazring.bench import slopes
from topazring.load import experiments

__all__ = ['main']


def main() -> None:
    """Run the named experiments and slopes, or all with --all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*')
    parser.add_argument('--runs', type=int, default=12)
    parser.add_argument('--all', action='store_true')
    arguments = parser.parse_args()
    runs = arguments.runs
    known = {
        **{
            name: lambda function=function: function(runs)
            for name, function in experiments.experiments().items()
        },
        **slopes.slopes(),
    }
    names = list(known) if arguments.all else arguments.names
    unknown = [name for name in names if name not in known]
    if unknown or not names:
        parser.error(f'expected --all or some of: {", ".join(known)}')
    for name in names:
        rows = asyncio.run(known[name]())
        print(f'\n## {name}\n\n{experiments.render(rows)}\n', flush=True)


if __name__ == '__main__':
    main()
