"""Client accounts whose keys and caps change beside killed leading VMs, while one
account sends ten times its share."""

import asyncio
import math
import time

from caller import call
from configuration import APPLY_WITHIN_S, CONFIGURATION

PREFIX = "/accounts/"
HOT = "hot"
# Half of each cap still admits the account's largest task.
TENANTS = {HOT: {"weight": 1, "cap": {"cpu": 9000, "mem_mb": 12000}},
           "small": {"weight": 2, "cap": {"cpu": 6000}},
           "tiny": {"weight": 1, "cap": {"cpu": 8000, "mem_mb": 2000}}}
# Of the 32 cores of the workers, 6 are the hot account's share. Its jobs need 13
# core-seconds on average.
JOB_INTERVAL_S = {HOT: 0.22, "small": 1.0, "tiny": 1.0}
COMPLETION_TIMEOUT_S = 25
# A VM that was killed beside a change serves calls again by then.
SERVES_AFTER_S = 10.0


class Accounts:
    """`rng` is a generator of its own, so that the faults of a seed stay the
    same."""

    def __init__(self, rng, soak):
        self.rng, self.soak = rng, soak
        self.vms, self.record = soak.vms, soak.record
        # Keys and the times of their changes.
        self.added_at, self.removed_at = {}, {}
        self.keys = {name: [self.new_key(), self.new_key()] for name in TENANTS}
        # Caps and the times from which on they are in force.
        self.caps = [(0.0, {name: t["cap"] for name, t in TENANTS.items()})]
        # Jobs to the names of their accounts.
        self.owners = {}
        self.completed = {name: 0 for name in TENANTS if name != HOT}
        # The largest part of its highest cap that each account used.
        self.peaks = dict.fromkeys(TENANTS, 0.0)
        self.changes = self.kills = 0
        self.record.start_checks.append(self.check_cap)

    def new_key(self):
        key = f"{self.rng.getrandbits(128):032x}"
        self.added_at[key] = time.monotonic()
        return key

    def extend(self, configuration):
        """The existing routes become public: their callers need no key."""
        routes = [dict(route, public=True) for route in configuration["routes"]]
        routes.append(dict(CONFIGURATION["routes"][0], name="accounts",
                           path_prefix=PREFIX))
        return dict(configuration, routes=routes, tenants=[
            dict(TENANTS[name], name=name, api_keys=self.keys[name], cap=cap)
            for name, cap in self.caps[-1][1].items()])

    def check_cap(self, task):
        """Only starts are checked: a lowered cap stops no task."""
        account = self.owners.get(task.split(".")[0])
        if account is None:
            return
        since = time.monotonic() - APPLY_WITHIN_S
        ends = [began for began, _ in self.caps[1:]] + [math.inf]
        steps = [self.record.step(t) for t in self.record.running
                 if self.owners.get(t.split(".")[0]) == account]
        for name in ("cpu", "mem_mb"):
            total = sum(step[name] for step in steps)
            cap = max(caps[account].get(name, math.inf)
                      for (_, caps), end in zip(self.caps, ends) if end >= since)
            self.peaks[account] = max(self.peaks[account], total / cap)
            if total > cap:
                self.record.record_violation(
                    f"{account} runs {total} {name} with {task}, its cap is {cap}")

    async def ask(self, vm, method, path, key, body=None):
        """Calls and checks the status against the times of the key's changes."""
        asked_at = time.monotonic()
        status, content = await call(vm.callers, method, PREFIX + path, body,
                                     key=key) or (None, None)
        removed_at = self.removed_at.get(key, math.inf)
        is_removed = asked_at > removed_at + APPLY_WITHIN_S
        is_served = (asked_at > self.added_at[key] + APPLY_WITHIN_S
                     and removed_at == math.inf)
        if is_removed and status not in (None, 401, 503) \
                or is_served and status == 401:
            self.record.record_violation(
                f"{vm.name} answers {status} to {method} with a key that was "
                f"{'removed' if is_removed else 'added'} more than "
                f"{APPLY_WITHIN_S} s before")
        return status, content

    async def ask_any(self, account, method, path, body=None):
        return await self.ask(self.rng.choice(self.vms), method, path,
                              self.rng.choice(self.keys[account]), body)

    async def submit(self, account):
        job, is_hot = f"{self.rng.getrandbits(64):016x}", account == HOT
        body = {"spec": account, "steps": [{
            "count": 12 if is_hot else self.rng.randint(1, 3), "mem_mb": 500,
            "cpu": 1000 * self.rng.randint(1, 3), "estimate_ms": 600}]}
        self.record.jobs[job], self.owners[job] = body, account
        for _ in range(8):
            status, _ = await self.ask_any(account, "POST", job, body)
            if status == 200:
                if not is_hot:
                    await self.check_completion(job)
                return
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))

    async def check_completion(self, job):
        account, response = self.owners[job], None
        end = time.monotonic() + COMPLETION_TIMEOUT_S
        while time.monotonic() < end:
            response = await self.ask_any(account, "GET", job)
            if response == (200, {"state": "completed"}):
                self.completed[account] += 1
                return
            if self.removed_at:
                await self.ask(self.rng.choice(self.vms), "GET", "",
                               self.rng.choice(list(self.removed_at)))
            await asyncio.sleep(0.3)
        self.record.record_violation(
            f"accepted job {job} of {account} did not complete: {response}")

    async def send(self, account, is_over):
        tasks = []
        while not is_over():
            tasks.append(asyncio.ensure_future(self.submit(account)))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5)
                                * JOB_INTERVAL_S[account])
        await asyncio.gather(*tasks)

    async def cancel(self, job):
        while (await self.ask_any(HOT, "DELETE", job))[0] not in (200, 410):
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))

    async def run_round(self, calm):
        """The hot account sends until the jobs of the others have completed."""
        small_is_over, hot_is_over = asyncio.Event(), asyncio.Event()
        with calm.disruption():
            hot = asyncio.ensure_future(self.send(HOT, hot_is_over.is_set))
            small = [asyncio.ensure_future(self.send(name, small_is_over.is_set))
                     for name in self.completed]
            for divisor in (2, 1):
                await asyncio.sleep(self.rng.uniform(1.0, 4.0))
                await self.change_beside_a_kill(divisor)
            small_is_over.set()
            await asyncio.gather(*small)
            hot_is_over.set()
            await hot
            await asyncio.gather(*[self.cancel(job) for job in self.owners
                                   if self.owners[job] == HOT])
        if not all(self.completed.values()):
            self.record.record_violation(
                f"an account completed no job: {self.completed}")

    async def change_beside_a_kill(self, divisor):
        """Divides each cap and replaces a key of some accounts."""
        kill = asyncio.ensure_future(self.kill_leader())
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        changed = self.rng.sample(sorted(TENANTS), self.rng.randint(1, 3))
        for name in changed:
            self.removed_at[self.keys[name].pop(0)] = time.monotonic()
            self.keys[name].append(self.new_key())
        self.caps.append((time.monotonic(), {
            name: {resource: cap // divisor for resource, cap in t["cap"].items()}
            for name, t in TENANTS.items()}))
        self.soak.grow_configuration()
        self.changes += 1
        self.record.note(f"caps by {divisor}, other keys of {changed}")
        await asyncio.sleep(APPLY_WITHIN_S)
        killed = await kill
        await asyncio.gather(*[self.check_keys(vm, vm is killed)
                               for vm in self.vms])

    async def kill_leader(self):
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        leader = next((vm for vm in self.vms if vm.store
                       == self.soak.store.last_writer.get("lease")), self.vms[0])
        self.record.note(f"{leader.name}, which leads, is killed")
        self.kills += 1
        await leader.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await leader.start()
        return leader

    async def check_keys(self, vm, was_killed):
        """Checks that each key in force is served and no other one."""
        end = time.monotonic() + SERVES_AFTER_S
        for key in list(self.added_at):
            expected = 401 if key in self.removed_at else 200
            status = None
            while (status is None or status == 503 and was_killed) \
                    and time.monotonic() < end:
                status, _ = await self.ask(vm, "GET", "", key)
            if status != expected:
                self.record.record_violation(
                    f"{vm.name} answers {status} instead of {expected} to a key")

    def check_secrecy(self):
        """Checks that no key appears in a log or a row that the VMs wrote."""
        texts = {name: row[0] for name, row in self.soak.store.rows.items()
                 if name[0] != "op"}
        for vm in self.vms:
            with open(vm.log.name, "rb") as log:
                texts[vm.log.name] = log.read()
        for place, text in texts.items():
            if any(key.encode() in text for key in self.added_at):
                self.record.record_violation(f"a key appears in {place}")

    def summary(self):
        return (f"accounts: {self.changes} changes, {self.kills} leaders killed, "
                f"jobs completed: {self.completed}, parts of caps used: "
                f"{ {name: round(p, 2) for name, p in self.peaks.items()} }")
