"""Which work fits only on endpoints in evacuated failure domains."""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import endpoints, jobs, messages, placing, resources

# Returns the known endpoints of a service, held or not, one after the other.
Iterate = collections.abc.Callable[[], collections.abc.Iterable[endpoints.Endpoint]]


def find_unfit_reason(
    steps: collections.abc.Sequence[messages.SubmittedStep], iterate: Iterate
) -> reasons.Reason | None:
    """Return why some of the steps fit on no endpoint, or None if all of them do."""
    if all(placing.could_ever_fit(step, iterate_open(iterate)) for step in steps):
        return None
    if all(placing.could_ever_fit(step, iterate()) for step in steps):
        return reasons.Reason.EVACUATED
    return reasons.Reason.NEVER_FITS


def iterate_open(iterate: Iterate) -> collections.abc.Iterator[endpoints.Endpoint]:
    """Return the endpoints outside the evacuated failure domains."""
    return (endpoint for endpoint in iterate() if not endpoint.is_evacuated)


def count_blocked(
    waiting: collections.abc.Iterable[jobs.Task],
    get_iterate: collections.abc.Callable[[str], Iterate],
) -> int:
    """Return how many waiting tasks fit only where it is evacuated.

    `get_iterate` returns the endpoints of a service.
    """
    known: dict[tuple[str, resources.Resources, str], bool] = {}
    count = 0
    for task in waiting:
        service = task.job.terms.service
        key = (service, task.need, task.spec.required_label)
        if key not in known:
            reason = find_unfit_reason((task.spec,), get_iterate(service))
            known[key] = reason == reasons.Reason.EVACUATED
        count += known[key]
    return count
