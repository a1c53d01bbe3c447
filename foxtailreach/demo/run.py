"""The demonstration: faults under load, and a table of outcomes."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from dataclasses import asdict

import typer
from loguru import logger

from foxtailreach.bench.statistics import max_excess_over_limit, quantile
from foxtailreach.commands.edits import set_domain_edit, withdraw_key_edit
from foxtailreach.config.objects import Limit
from foxtailreach.demo.environment import World
from foxtailreach.demo.load import OK, Answer, Caller, Load
from foxtailreach.demo.outcomes import Outcome, check_records
from foxtailreach.exceptions import BrokenPromiseError
from foxtailreach.testing.target import Run

SEED = 7
STEADY_RATE = 20
GREEDY_FACTOR = 1.6
START_LIMIT_S = 10
POLL_S = 0.02
GRAY_FACTOR = 10
GRAY_LIMIT_S = 3
KEY_LIMIT_S = 3
DOMAIN_LIMIT_S = 3
STOP_LIMIT_S = 5
OUTAGE_S = 4
SETTLE_S = 2
RETURN_S = 3
PHASE_LIMIT_S = 6
WARM_UP_S = 4
_MS_PER_S = 1000
TOO_MANY = 429


def run_demo(deployment: str, *, as_json: bool) -> None:
    """Run the demonstration; raises BrokenPromiseError if one was broken."""
    logger.remove()
    logger.add(sys.stderr, level='WARNING', format='{level} {message}')
    outcomes = asyncio.run(_run(deployment))
    if as_json:
        typer.echo(json.dumps([asdict(outcome) for outcome in outcomes]))
    else:
        typer.echo(render_table(outcomes))
    broken = [outcome.name for outcome in outcomes if outcome.is_kept is False]
    if broken:
        raise BrokenPromiseError('; '.join(broken))


async def _run(deployment: str) -> list[Outcome]:
    return await Demo(deployment).run()


class Demo:
    """One run through all faults."""

    def __init__(self, deployment: str) -> None:
        """Prepare the world and its callers."""
        self._deployment = deployment
        self._world = World(deployment)
        self._rng = random.Random(SEED)
        self._load = Load(self._ports, self._rng)
        self._outcomes: list[Outcome] = []
        self._customers = list(self._world.objects.customers)
        busiest, *others = self._world.objects.services
        self._services = (busiest, busiest, busiest, *others)
        self._ejected: set[str] = set()
        self._sick: set[str] = set()

    async def run(self) -> list[Outcome]:
        """Run all phases and return the outcomes."""
        await self._world.start()
        await self._wait_until_serving()
        callers = [
            asyncio.ensure_future(self._load.run(caller, float('inf')))
            for caller in self._callers()
        ]
        watcher = asyncio.ensure_future(self._watch_ejections())
        await asyncio.sleep(WARM_UP_S)
        for phase in (
            self._turn_target_gray,
            self._take_domain_out,
            self._withdraw_key,
            self._lose_log,
            self._restart_host,
        ):
            await phase()
            await asyncio.sleep(SETTLE_S)
        for task in (*callers, watcher):
            task.cancel()
        await self._load.drain()
        self._summarize()
        await self._world.stop()
        self._load.close()
        return self._outcomes

    def _ports(self) -> list[int]:
        return [
            process.caller_port
            for process in self._world.hosts.values()
            if not process.host.node.is_stopping
        ]

    def _callers(self) -> list[Caller]:
        callers = []
        greedy = self._customers[-1]
        for customer in self._customers:
            rate = STEADY_RATE
            if customer == greedy:
                rate = int(self._limit(customer).rate_per_s * GREEDY_FACTOR)
            callers.append(
                Caller(
                    customer,
                    f'demo-key-{customer}',
                    rate,
                    self._services,
                ),
            )
        return callers

    def _limit(self, customer: str) -> Limit:
        objects = self._world.objects
        return objects.limits[objects.customers[customer].limit]

    async def _wait_until_serving(self) -> None:
        deadline_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline_s:
            names = self._world.targets
            statuses = {self._world.target_status(name) for name in names}
            seats = {
                holder.host_id
                for process in self._world.hosts.values()
                for holder in process.host.node.fold.holders.values()
            }
            if 'unowned' not in statuses and seats:
                await asyncio.sleep(SETTLE_S)
                return
            await asyncio.sleep(POLL_S)
        raise BrokenPromiseError('the hosts did not start to serve')

    async def _watch_ejections(self) -> None:
        while True:
            for name in self._world.targets:
                if self._world.target_status(name) == 'ejected':
                    self._ejected.add(name)
            await asyncio.sleep(POLL_S)

    async def _turn_target_gray(self) -> None:
        name = f'{self._services[0]}-01'
        self._sick.add(name)
        behaviour = self._world.targets[name].state.behaviour
        behaviour.slow_factor = GRAY_FACTOR
        started_s = time.monotonic()
        detected_s = await self._wait_for_status(name, 'ejected')
        behaviour.slow_factor = 1
        self._outcomes.append(
            _within('gray target out of use', detected_s, GRAY_LIMIT_S),
        )
        await asyncio.sleep(max(0, RETURN_S - time.monotonic() + started_s))

    async def _wait_for_status(self, name: str, status: str) -> float | None:
        started_s = time.monotonic()
        while time.monotonic() - started_s < PHASE_LIMIT_S:
            if self._world.target_status(name) == status:
                return time.monotonic() - started_s
            await asyncio.sleep(POLL_S)
        return None

    async def _take_domain_out(self) -> None:
        domain = next(iter(self._world.objects.domains))
        started_s = time.monotonic()
        await self._world.publish(set_domain_edit(domain, 'out'))
        await asyncio.sleep(PHASE_LIMIT_S)
        last_s = max(started_s, self._last_run_in(domain))
        self._outcomes.append(
            _within(
                'no new work in a domain taken out',
                last_s - started_s,
                DOMAIN_LIMIT_S,
            ),
        )
        await self._world.publish(set_domain_edit(domain, 'active'))
        await asyncio.sleep(RETURN_S)

    def _last_run_in(self, domain: str) -> float:
        targets = self._world.objects.targets
        return max(
            (
                server.state.runs[-1].at_s
                for name, server in self._world.targets.items()
                if targets[name].domain == domain and server.state.runs
            ),
            default=0,
        )

    async def _withdraw_key(self) -> None:
        customer = self._customers[0]
        started_s = time.monotonic()
        await self._world.publish(withdraw_key_edit(f'{customer}-1'))
        await asyncio.sleep(PHASE_LIMIT_S)
        last_s = max(
            (
                answer.started_s
                for answer in self._load.answers
                if answer.customer == customer and answer.status == OK
            ),
            default=started_s,
        )
        self._outcomes.append(
            _within(
                'withdrawn key stops working',
                max(0, last_s - started_s),
                KEY_LIMIT_S,
            ),
        )

    async def _lose_log(self) -> None:
        started_s = time.monotonic()
        self._world.platform.faults.is_away = True
        await asyncio.sleep(OUTAGE_S)
        self._world.platform.faults.is_away = False
        during = [
            answer
            for answer in self._load.answers
            if started_s <= answer.started_s
        ]
        withdrawn = self._customers[0]
        refused = [
            answer
            for answer in during
            if answer.status in {401, 503} and answer.customer != withdrawn
        ]
        self._outcomes.append(
            Outcome(
                'refused because the log was away',
                f'{len(refused)} of {len(during)}',
                '0',
                not refused,
            ),
        )

    async def _restart_host(self) -> None:
        host_id, process = next(iter(self._world.hosts.items()))
        domain = process.host.settings.host.domain
        started_s = time.monotonic()
        await self._world.stop_host(host_id)
        stopped_s = time.monotonic() - started_s
        self._outcomes.append(
            _within('graceful stop of a host', stopped_s, STOP_LIMIT_S),
        )
        self._world.start_host(f'{host_id}-new', domain)

    def _summarize(self) -> None:
        answers = self._load.answers
        runs = [
            run
            for server in self._world.targets.values()
            for run in server.state.runs
        ]
        self._outcomes.extend(check_records(answers, runs))
        self._outcomes.append(self._check_limit(runs))
        wrong = self._ejected - self._sick
        self._outcomes.append(
            Outcome('false ejections', str(len(wrong)), '0', not wrong),
        )
        self._outcomes.extend(self._measures(answers))

    def _check_limit(self, runs: list[Run]) -> Outcome:
        greedy = self._customers[-1]
        limit = self._limit(greedy)
        times = [run.at_s for run in runs if run.customer == greedy]
        excess = max_excess_over_limit(
            times, limit.rate_per_s, limit.burst_requests
        )
        return Outcome(
            f'runs above the limit of {greedy}',
            f'{max(0, excess):.0f} of {len(times)}',
            '0',
            excess <= 0,
        )

    def _measures(self, answers: list[Answer]) -> list[Outcome]:
        greedy = self._customers[-1]
        steady = [
            answer
            for answer in answers
            if answer.customer not in {greedy, self._customers[0]}
        ]
        wrongful = [answer for answer in steady if answer.status == TOO_MANY]
        served = [answer for answer in steady if answer.status == OK]
        latencies = [answer.latency_s for answer in served]
        shares = [
            sum(answer.status == OK for answer in own) / len(own)
            for customer in self._customers[1:-1]
            if (own := [one for one in steady if one.customer == customer])
        ]
        return [
            Outcome(
                'refused although inside the rate',
                f'{len(wrongful)} of {len(steady)}',
                '0',
            ),
            Outcome(
                'worst-served customer inside its rate',
                f'{min(shares, default=0):.2%} answered',
                '',
            ),
            Outcome(
                'latency p50 / p99',
                f'{quantile(latencies, 0.5) * _MS_PER_S:.1f} / '
                f'{quantile(latencies, 0.99) * _MS_PER_S:.1f} ms',
                '',
            ),
            Outcome('requests', str(len(answers)), ''),
        ]


def render_table(outcomes: list[Outcome]) -> str:
    """Format the outcomes as a table for a terminal."""
    marks = {True: 'kept', False: 'BROKEN', None: ''}
    width = max(len(outcome.name) for outcome in outcomes)
    lines = [f'{"outcome":{width}}  {"measured":24} {"stated":10}']
    lines.extend(
        f'{outcome.name:{width}}  {outcome.measured:24} '
        f'{outcome.stated:10} {marks[outcome.is_kept]}'
        for outcome in outcomes
    )
    return '\n'.join(lines)


def _within(name: str, seconds: float | None, limit_s: float) -> Outcome:
    if seconds is None:
        return Outcome(name, 'never', f'{limit_s} s', is_kept=False)
    return Outcome(
        name,
        f'{seconds:.2f} s',
        f'{limit_s} s',
        seconds <= limit_s,
    )
