"""Run a deployment on this machine until Ctrl-C."""

import argparse
import pathlib
import signal
import sys

import trio

from demo.plan import BINARY, Plan, make_plan
from demo.processes import Demonstration


def _instructions(plan: Plan) -> str:
    path = plan.deployment['services'][0]['path']
    account, key = next(iter(plan.keys.items()))
    vm = plan.vms[0]
    url = vm['url']
    settings = plan.settings_path(vm['name'])
    command = f'{" ".join(plan.vm_command)} --settings {settings}'
    return '\n'.join(
        (
            f'The {plan.name} deployment serves. Try:',
            f'  curl {url}/steering/entries',
            f'  curl -H "Authorization: Bearer {key}" {url}{path}',
            f'  # the key of {account}; the others are in build/demo.json',
            f'  {command} status',
            f'  {command} preset choose peak',
            f'  {command} timeline',
            'Ctrl-C stops it.',
        )
    )


async def run(plan: Plan) -> None:
    """Run the demonstration until SIGINT or SIGTERM."""
    demonstration = Demonstration(plan)
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_start_and_print, demonstration)
                await anext(aiter(signals))
                nursery.cancel_scope.cancel()
        finally:
            # Still inside the receiver, so a second Ctrl-C can't interrupt it.
            demonstration.stop()


async def _start_and_print(demonstration: Demonstration) -> None:
    await demonstration.start()
    sys.stdout.write(f'{_instructions(demonstration.plan)}\n')
    sys.stdout.flush()


def main() -> None:
    """Run the demonstration from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', default='anadolu')
    parser.add_argument('--network', type=int, default=0)
    arguments = parser.parse_args()
    directory = pathlib.Path('build/demo')
    plan = make_plan(
        arguments.deployment,
        directory,
        network=arguments.network,
        use_binary=BINARY.exists(),
    )
    trio.run(run, plan)


if __name__ == '__main__':
    main()
