"""Run an edge VM on the hosting platform."""

import trio

from chestnutshift.platform.assembly import run_edge

if __name__ == '__main__':
    trio.run(run_edge)
