"""Callers that hand jobs in, cancel some, and follow all to their end."""

import asyncio
import itertools
import json
import random
from typing import Any, Final, final

import aiohttp

from berylspread.kernel.clock import now
from berylspread_standins.process_soak.fleet import (
    HOST,
    KEY,
    TASK_MILLI,
    ProcessFleet,
)

DEADLINE_S: Final = 3.0
HEADERS: Final = {
    'Host': HOST,
    'X-Api-Key': KEY,
    'Deadline-Ms': str(int(DEADLINE_S * 1000)),
}
ATTEMPTS: Final = 5
RETRY_S: Final = 0.2
#: Mean time between two jobs.
JOB_EVERY_S: Final = 0.15
CANCELLED: Final = 0.1
#: Shares of the jobs that are a gang, and that run until they are cancelled.
GANGS: Final = 0.15
LASTING: Final = 0.1
#: The share of the gangs of which several members fail in the same run, and in
#: how many runs; in the longest, the attempts are used up.
FAILING_GANGS: Final = 0.4
FAILING_RUNS: Final = (1, 2, 100)
#: The share of the jobs with a task that crashes its workers.
CRASHING: Final = 0.03
#: The share of the jobs with a step of many tasks, and how many.
LARGE: Final = 0.005
LARGE_STEP: Final = 400
WIDEST_GANG: Final = 4
LASTING_S: Final = 4.0
ID_BYTES: Final = 8
ACCEPTED: Final = 200
#: The answer about a job that is not known.
UNKNOWN: Final = 410
#: Answers after which a job must never run.
REFUSALS: Final = frozenset((429, 503))
FINAL_STATES: Final = frozenset(('completed', 'failed', 'canceled'))
#: What stands for a call that got no answer.
NO_ANSWER: Final = 0


@final
class Handed:
    """One job as its caller sees it; times are the loop's."""

    __slots__ = (
        'accepted_at',
        'answers',
        'cancelled_at',
        'completed_at',
        'is_due',
        'is_gang',
        'is_lasting',
        'job_id',
        'state',
        'states',
        'steps',
        'tries_cancel',
    )

    def __init__(self, job_id: str, steps: list[int]) -> None:
        """Take the id and the width of each step."""
        self.job_id = job_id
        self.steps = steps
        self.answers: list[int] = []
        self.accepted_at: float | None = None
        self.cancelled_at: float | None = None
        self.completed_at: float | None = None
        self.tries_cancel = False
        #: Whether the tasks work only together; there is one step then.
        self.is_gang = False
        #: Whether the tasks run until the job is cancelled.
        self.is_lasting = False
        #: Whether it was handed in while jobs could be accepted.
        self.is_due = True
        self.state = ''
        #: Every answer to a question about the job, after it was accepted.
        self.states: list[str] = []

    @property
    def is_refused(self) -> bool:
        """Return whether every attempt was refused as not run."""
        return bool(self.answers) and REFUSALS.issuperset(self.answers)

    @property
    def is_settled(self) -> bool:
        """Return whether nothing more is expected of the job."""
        return self.accepted_at is None or self.state in FINAL_STATES

    def body(self) -> dict[str, Any]:
        """Return the job on the wire; each step waits for the one before."""
        return {
            'spec': f'text of {self.job_id}',
            'steps': [
                {
                    'count': count,
                    'cpu': TASK_MILLI,
                    'memMb': 1,
                    'estimateMs': 300,
                    'gang': self.is_gang,
                    'longRunning': self.is_lasting,
                    **({'dependsOn': [number - 1]} if number else {}),
                }
                for number, count in enumerate(self.steps)
            ],
        }


@final
class Callers:
    """Keep connections open until a process is gone, and try again."""

    __slots__ = ('fleet', 'jobs', 'rng', 'session', 'tasks')

    def __init__(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Take whom to call."""
        self.fleet = fleet
        self.rng = rng
        self.jobs: list[Handed] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.session: aiohttp.ClientSession | None = None

    async def run(self, seconds: float) -> None:
        """Hand jobs in for a time; ``settle`` follows them to their end."""
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=DEADLINE_S + 1)
        )
        ends_at = now() + seconds
        while now() < ends_at:
            self._spawn(self._hand_in())
            await asyncio.sleep(self.rng.expovariate(1 / JOB_EVERY_S))

    async def settle(self, limit_s: float) -> None:
        """Wait until every accepted job has ended, or the limit is reached."""
        ends_at = now() + limit_s
        while now() < ends_at and not self._is_settled():
            await asyncio.sleep(RETRY_S)

    async def close(self) -> None:
        """Hang up."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.session is not None:
            await self.session.close()

    def _is_settled(self) -> bool:
        return all(job.answers and job.is_settled for job in self.jobs)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _hand_in(self) -> None:
        widest = self.fleet.options.widest_step
        steps = [
            self.rng.randint(1, widest) for _ in range(self.rng.randint(1, 2))
        ]
        job = self._draw_kind(Handed(self.rng.randbytes(ID_BYTES).hex(), steps))
        job.is_due = self.fleet.is_serving and not self.fleet.halts
        self.jobs.append(job)
        for _ in range(ATTEMPTS):
            status, _ = await self._call('POST', job, job.body())
            job.answers.append(status)
            if status == ACCEPTED:
                job.accepted_at = now()
                break
            await asyncio.sleep(RETRY_S)
        if job.accepted_at is not None:
            await self._follow(job)
        elif job.is_lasting and not job.is_refused:
            # If it was accepted, it would take room until the end of the run.
            await self._cancel(job)

    def _draw_kind(self, job: Handed) -> Handed:
        """Make some jobs a gang, some lasting, and let some crash workers."""
        draw = self.rng.random()
        if draw < GANGS:
            job.is_gang = True
            job.steps = [self.rng.randint(2, WIDEST_GANG)]
            self.fleet.gangs.sizes[f'{job.job_id}.0.0'] = job.steps[0]
            if draw < GANGS * FAILING_GANGS:
                self._let_fail(job)
        elif draw < GANGS + LASTING:
            job.is_lasting = True
            job.steps = job.steps[:1]
            self.fleet.lasting.add(job.job_id)
        elif draw < GANGS + LASTING + CRASHING:
            self.fleet.crashing.add(f'{job.job_id}.0.0.0')
        elif draw < GANGS + LASTING + CRASHING + LARGE:
            job.steps = [LARGE_STEP]
        return job

    def _let_fail(self, job: Handed) -> None:
        """Let two or more members of a gang fail together."""
        for run in range(1, self.rng.choice(FAILING_RUNS) + 1):
            failing = self.rng.randint(2, job.steps[0])
            for index in self.rng.sample(range(job.steps[0]), failing):
                task = f'{job.job_id}.0.0.{index}'
                self.fleet.gangs.failing.add((task, run))

    async def _follow(self, job: Handed) -> None:
        job.tries_cancel = job.is_lasting or self.rng.random() < CANCELLED
        if job.is_lasting:
            await asyncio.sleep(self.rng.random() * LASTING_S)
        if job.tries_cancel:
            await self._cancel(job)
        while job.state not in FINAL_STATES:
            await asyncio.sleep(RETRY_S * 2)
            status, text = await self._call('GET', job)
            if status == ACCEPTED:
                job.state = str(json.loads(text).get('state'))
                job.states.append(job.state)
            elif status not in REFUSALS and status != NO_ANSWER:
                job.states.append(str(status))
        job.completed_at = now()

    async def _cancel(self, job: Handed) -> None:
        await asyncio.sleep(self.rng.random())
        attempts = itertools.count() if job.is_lasting else range(ATTEMPTS**2)
        for _ in attempts:
            status, _ = await self._call('DELETE', job)
            if status == ACCEPTED:
                job.cancelled_at = now()
                return
            if status == UNKNOWN and job.accepted_at is None:
                return
            await asyncio.sleep(RETRY_S)

    async def _call(
        self, method: str, job: Handed, body: dict[str, Any] | None = None
    ) -> tuple[int, str]:
        assert self.session is not None
        front = self.rng.choice(self.fleet.nodes).front
        url = f'http://{front}/q/{job.job_id}'
        try:
            async with self.session.request(
                method, url, json=body, headers=HEADERS
            ) as response:
                return response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError):
            # Whether it has run is unknown; the caller asks again.
            return NO_ANSWER, ''
