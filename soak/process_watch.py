"""Watches the processes of a soak: none may end by itself or exceed the memory
of its machine."""

import asyncio

WATCH_INTERVAL_S = 0.1


class ProcessWatch:
    """Starts a process again that ended, or kills it for its memory first, as
    the platform does."""

    def __init__(self, vms, record, calm, memory_mb):
        self.vms, self.record, self.calm = vms, record, calm
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        self.reported = set()

    async def run(self):
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for vm in self.vms:
                if vm.process.returncode is None:
                    await self.check_memory(vm)
                elif not vm.is_ending:
                    self.record.record_violation(
                        f"{vm.name} ended by itself, exit code "
                        f"{vm.process.returncode}")
                    await self.restart(vm)

    async def check_memory(self, vm):
        memory_mb = vm.peak_memory_mb() or 0.0
        self.peak_mb = max(self.peak_mb, memory_mb)
        if memory_mb <= self.memory_mb or vm.process.pid in self.reported:
            return
        self.reported.add(vm.process.pid)
        self.record.record_violation(
            f"{vm.name} uses {memory_mb:.0f} MB of memory, more than its "
            f"{self.memory_mb} MB")
        if not vm.is_ending:
            await self.restart(vm)

    async def restart(self, vm):
        with self.calm.disruption():
            await vm.kill()
            await vm.start()
