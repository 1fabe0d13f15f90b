"""How the memory limit of a process is divided."""

from chestnutshift.memory.budget import MemoryBudget

# The limit where the settings name none.
LIMIT_B = 300_000_000
# The program with its tables, before callers come.
PROGRAM_B = 48_000_000
# Part of the limit for fragments of the heap and for small objects.
RESERVE_RATIO = 0.3
# The budget of a process whose limit leaves less.
BUDGET_MIN_B = 8_000_000
# A connection without a request.
CONNECTION_B = 20_000
# Part of the limit that open connections may use.
CONNECTIONS_RATIO = 0.25


def make_budget(limit_b: int) -> MemoryBudget:
    """Return the budget of a process with this limit, 0 if it is unknown."""
    limit_b = limit_b or LIMIT_B
    left_b = limit_b * (1 - RESERVE_RATIO) - PROGRAM_B
    return MemoryBudget(max(BUDGET_MIN_B, left_b))


def affordable_connections(limit_b: int) -> int:
    """Return how many connections may be open, 0 for an unknown limit."""
    return int((limit_b or LIMIT_B) * CONNECTIONS_RATIO / CONNECTION_B)
