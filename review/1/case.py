"""A replica sends a second copy of a rejection where the next answer is expected."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support.world import (
    Replica,
    World,
    build_call,
    build_route,
    exchange,
    run_case,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the disruption is left out."""
SEED = 1
LENGTH_S = 90.0
REQUESTS_PER_S = 90.0
DEADLINE_MS = 1_000
N_VMS = 2
N_SLOTS = 2
N_QUEUED = 1
WORK_S = 0.04
COPIED_SHARE = 0.03
"""Largest share of its answers that a faulty replica sends twice."""
LEAVING_SHARE = 0.3
LEAVING_S = 0.01


class App(Replica):
    """Runs what fits into its slots and its queue, and rejects the rest.

    It finishes what it runs when a connection closes; only most replicas drop that.
    """

    n_slots = N_SLOTS
    is_faulty = False

    def __init__(self, *args) -> None:
        super().__init__(*args, work_s=WORK_S)
        self._slots = asyncio.Semaphore(N_SLOTS)
        self._n_held = 0
        self._copies: dict[object, tuple[str, bytes]] = {}
        self.n_answers = self.n_rejected = self.n_copies = 0

    async def serve(self, message, reader, writer) -> bool:
        call_id, copied = message.call_id, self._copies.pop(writer, None)
        if copied is not None:
            writer.write(copied[1])
            self.world.record.write(
                f"replica {self.name} sends the rejection of {copied[0]} again, where "
                f"the answer to {call_id} is expected"
            )
        if self._n_held >= N_SLOTS + N_QUEUED:
            self.n_answers += 1
            self.n_rejected += 1
            rejection = self.not_executed(message)
            writer.write(rejection)
            self.world.record.write(f"replica {self.name} rejects {call_id}, not run")
            may_copy = self.n_copies + 1 <= COPIED_SHARE * self.n_answers
            if self.is_faulty and HAS_TROUBLE and may_copy:
                self.n_copies += 1
                self._copies[writer] = (call_id, rejection)
            return True
        self._n_held += 1
        try:
            async with self._slots:
                self.note_run(message)
                await asyncio.sleep(self.work_s)
        finally:
            self._n_held -= 1
        self.n_answers += 1
        self.world.record.write(f"replica {self.name} answers {call_id} 200")
        writer.write(self.answer(message))
        await writer.drain()
        return True


async def call(world: World, vm, call_id: str, answers: dict, *, leaves: bool) -> None:
    """Send a request; a client that leaves closes its connection early."""
    request = build_call(call_id, "/book/x", deadline_ms=DEADLINE_MS)
    try:
        async with asyncio.timeout(LEAVING_S if leaves else DEADLINE_MS / 1_000):
            answer = await exchange(vm.callers, request)
            answers[call_id] = "closed" if answer is None else str(answer.status)
    except TimeoutError:
        answers[call_id] = "left" if leaves else "deadline"
    world.record.write(f"client {call_id} at {vm.name}: {answers[call_id]}")


async def case(folder: Path) -> list[str]:
    random_state = random.Random(SEED)
    async with World(folder) as world:
        world.configure([build_route("book", "app", "non_idempotent")])
        replicas = [App(world, f"i-{n}", "app") for n in (1, 2)]
        replicas[0].is_faulty = True
        for replica in replicas:
            await world.add_replica(replica)
        vms = [world.add_vm() for _ in range(N_VMS)]
        await asyncio.gather(*(vm.start() for vm in vms))
        await asyncio.sleep(4.0)
        answers: dict[str, str] = {}
        tasks = []
        end_s = world.record.now() + LENGTH_S
        while world.record.now() < end_s:
            await asyncio.sleep(random_state.expovariate(REQUESTS_PER_S))
            call_id = f"{len(tasks):016x}"
            vm = random_state.choice(vms)
            leaves = random_state.random() < LEAVING_SHARE
            tasks.append(
                asyncio.create_task(call(world, vm, call_id, answers, leaves=leaves))
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        world.record.write(f"clients: {dict(Counter(answers.values()))}")
        for replica in replicas:
            world.record.write(
                f"replica {replica.name}: {replica.n_answers} answers, of these "
                f"{replica.n_rejected} rejections, {replica.n_copies} of them twice"
            )
        breaches = []
        for call_id, answer in answers.items():
            n_runs = world.count_runs(call_id)
            if n_runs > 1:
                breaches.append(f"TWICE: {call_id} ran {n_runs} times")
            if n_runs and answer in ("408", "421", "429", "503"):
                breaches.append(f"REFUSED: {call_id} ran, and its client got {answer}")
        return breaches


if __name__ == "__main__":
    run_case(case)
