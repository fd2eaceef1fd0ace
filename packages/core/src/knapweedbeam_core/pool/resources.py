"""Resources of endpoints, and those that a task requires."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.pool import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Processor capacity in thousandths of a core, memory in MiB, and GPUs."""

    cpu_millis: int = 0
    memory_mib: int = 0
    gpus: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.gpus + other.gpus,
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left after `other` is taken away."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.gpus - other.gpus,
        )

    def covers(self, need: Resources) -> bool:
        """Return whether these resources are enough for `need`."""
        return (
            need.cpu_millis <= self.cpu_millis
            and need.memory_mib <= self.memory_mib
            and need.gpus <= self.gpus
        )


def get_need(step: messages.SubmittedStep) -> Resources:
    """Return the resources that one task of a step requires.

    Filling tasks require no processor capacity, as they use what others leave.
    """
    cpu_millis = 0 if step.is_filling else step.cpu_millis
    return Resources(cpu_millis, step.memory_mib, step.gpus)
