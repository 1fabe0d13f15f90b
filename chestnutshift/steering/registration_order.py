"""Which of two registrations under one id is the newer."""

from chestnutshift.steering.upstreams import Registration


def is_newer(registration: Registration, before: Registration) -> bool:
    """Return whether a registration is certainly newer than another."""
    return _order(registration) > _order(before)


def is_older(registration: Registration, before: Registration) -> bool:
    """Return whether a registration is stale.

    Without a start time a restart, which resets the sequence, can't be told
    from the earlier run, so the registration is then accepted.
    """
    if not registration.started_at_ms:
        return False
    if before.started_at_ms != registration.started_at_ms:
        return False
    return registration.sequence < before.sequence


def is_same_run(registration: Registration, before: Registration) -> bool:
    """Return whether both are of one run of the upstream."""
    return _run(registration) == _run(before)


def _order(registration: Registration) -> tuple[int, int]:
    return registration.started_at_ms, registration.sequence


def _run(registration: Registration) -> tuple[int, str, str, int]:
    return (
        registration.started_at_ms,
        registration.service,
        registration.address,
        registration.port,
    )
