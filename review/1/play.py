"""Late copies of a refusal, read as the refusal of the next try of the same request."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from backend import LateCopies  # noqa: E402
from world import config, main, route, service, trouble  # noqa: E402

SHARE_OF_ANSWERS, FOR_S, PAUSE_S = 0.03, 5.0, 1.0
BACKENDS, FAULTY, HOSTS, RATE_PER_S, PLAY_S = 2, 1, 8, 60.0, 60.0
DUES = route("dues.example", "/post/", "unsafe", "ledger")


def is_refusal_of_same(answer, following):
    """Choose the refusals after which the same request comes again on the connection."""
    attempt = following.get("attempt-id")
    return answer.startswith(b"HTTP/1.1 503 ") and attempt is not None and attempt.encode() in answer


async def play(world):
    await world.start_store(config(3, {"r-1": DUES}, {"ledger": service()}))
    backends = [
        LateCopies(id=f"i-{number:08x}", service="ledger", address=world.address(61 + number),
                   zone="hall-a", store=world.store, record=world.note, slots=3, queue=2,
                   work_s=lambda request: random.uniform(0.08, 0.24))
        for number in range(BACKENDS)
    ]
    for backend in backends:
        backend.is_chosen = is_refusal_of_same
        await backend.start()
    for number in range(HOSTS):
        world.start_host(number)
    await world.until_ready(range(HOSTS))
    await asyncio.sleep(2.0)
    playing = asyncio.create_task(disrupt(world, backends[:FAULTY]))
    await send(world)
    playing.cancel()
    return check(world)


async def disrupt(world, faulty):
    while trouble():
        await asyncio.sleep(PAUSE_S)
        world.note({"event": "trouble-begins", "backends": [backend.id for backend in faulty]})
        for backend in faulty:
            backend.set_share(SHARE_OF_ANSWERS)
        await asyncio.sleep(FOR_S)
        for backend in faulty:
            world.note({"event": "trouble-ends", "copies": backend.copies, "answers": backend.answers})
            backend.set_share(0.0)


async def send(world):
    """Send more than the backends can run: 60 requests a second for room for 37."""
    loop = asyncio.get_running_loop()
    end, tasks = loop.time() + PLAY_S, []
    while loop.time() < end:
        tasks.append(asyncio.create_task(world.request(random.randrange(HOSTS), DUES, body=b"dues" * 75)))
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    await asyncio.gather(*tasks)


def check(world):
    """TWICE: a request that isn't idempotent runs more than once."""
    runs = Counter(event["id"] for event in world.events if event["event"] == "runs")
    answers = {event["id"]: event["status"] for event in world.events if event["event"] == "answered"}
    broken = [f"TWICE: {attempt} ran {count} times; its client got {answers.get(attempt)}"
              for attempt, count in runs.items() if count > 1]
    untrue = [attempt for attempt in runs if answers.get(attempt) in (408, 421, 429, 503)]
    world.note({"event": "checked", "answers": Counter(answers.values()), "twice": len(broken),
                "answered-as-not-run-but-run": len(untrue), "ids": untrue[:20],
                "copies": sum(event["event"] == "late-copy" for event in world.events)})
    return broken


main(play, FOLDER)
