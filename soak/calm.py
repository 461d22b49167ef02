"""When the platform counts the machines as calm."""

import contextlib
import time

# A disruption counts this much longer than it lasts (contact_ms).
CONTACT_S = 3.0


class Calm:
    """Disruptions are losses and silences of workers, kills of VMs, crowds of
    clients and the like; planned stops and configurations are none."""

    def __init__(self):
        self.active = 0
        self.last_end = time.monotonic()

    @contextlib.contextmanager
    def disruption(self):
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1
            self.last_end = time.monotonic()

    def since(self):
        """The time from which on it has been calm, None while it is not."""
        return None if self.active else self.last_end + CONTACT_S
