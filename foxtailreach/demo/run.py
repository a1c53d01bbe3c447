"""Runs the demo: faults under load, and a table of outcomes."""

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
from foxtailreach.demo.environment import DemoEnvironment
from foxtailreach.demo.load import OK, Caller, Load, Response
from foxtailreach.demo.outcomes import Outcome, check_records
from foxtailreach.exceptions import GuaranteeViolatedError
from foxtailreach.testing.target import Run

SEED = 7
STEADY_RATE_PER_S = 20
OVER_LIMIT_FACTOR = 1.6
START_LIMIT_S = 10
POLL_INTERVAL_S = 0.02
GRAY_SLOW_FACTOR = 10
EJECTION_LIMIT_S = 3
KEY_WITHDRAWAL_LIMIT_S = 3
DOMAIN_OUT_LIMIT_S = 3
GRACEFUL_STOP_LIMIT_S = 5
LOG_OUTAGE_S = 4
SETTLE_S = 2
RECOVERY_S = 3
OBSERVATION_S = 6
WARM_UP_S = 4
_MS_PER_S = 1000
TOO_MANY_REQUESTS = 429


def run_demo(deployment: str, *, as_json: bool) -> None:
    """Run the demo and print its outcomes.

    Raises a GuaranteeViolatedError that names each violated guarantee.
    """
    logger.remove()
    logger.add(sys.stderr, level='WARNING', format='{level} {message}')
    outcomes = asyncio.run(_run(deployment))
    if as_json:
        typer.echo(json.dumps([asdict(outcome) for outcome in outcomes]))
    else:
        typer.echo(render_table(outcomes))
    violated = [
        outcome.name for outcome in outcomes if outcome.is_kept is False
    ]
    if violated:
        raise GuaranteeViolatedError('; '.join(violated))


async def _run(deployment: str) -> list[Outcome]:
    return await Demo(deployment).run()


class Demo:
    """Puts the fleet under load and runs one fault or change after the other.

    The first customer's key is withdrawn, and the last customer exceeds its
    limit; the others stay within theirs.
    """

    def __init__(self, deployment: str) -> None:
        """Prepare the environment and the load."""
        self._deployment = deployment
        self._environment = DemoEnvironment(deployment)
        self._rng = random.Random(SEED)
        self._load = Load(self._serving_ports, self._rng)
        self._outcomes: list[Outcome] = []
        self._customers = list(self._environment.objects.customers)
        # The first service gets three times the load of each other one.
        busiest, *others = self._environment.objects.services
        self._services = (busiest, busiest, busiest, *others)
        self._ejected: set[str] = set()
        self._slowed: set[str] = set()

    async def run(self) -> list[Outcome]:
        """Run all phases and return the outcomes."""
        await self._environment.start()
        await self._wait_until_serving()
        callers = [
            asyncio.ensure_future(self._load.run(caller, float('inf')))
            for caller in self._callers()
        ]
        watcher = asyncio.ensure_future(self._watch_ejections())
        await asyncio.sleep(WARM_UP_S)
        for phase in (
            self._slow_target_down,
            self._take_domain_out,
            self._withdraw_key,
            self._make_log_unavailable,
            self._restart_host,
        ):
            await phase()
            await asyncio.sleep(SETTLE_S)
        for task in (*callers, watcher):
            task.cancel()
        await self._load.drain()
        self._summarize()
        await self._environment.stop()
        self._load.close()
        return self._outcomes

    def _serving_ports(self) -> list[int]:
        return [
            running_host.caller_port
            for running_host in self._environment.hosts.values()
            if not running_host.host.node.is_stopping
        ]

    def _callers(self) -> list[Caller]:
        callers = []
        over_limit_customer = self._customers[-1]
        for customer in self._customers:
            rate = STEADY_RATE_PER_S
            if customer == over_limit_customer:
                rate = int(self._limit(customer).rate_per_s * OVER_LIMIT_FACTOR)
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
        objects = self._environment.objects
        return objects.limits[objects.customers[customer].limit]

    async def _wait_until_serving(self) -> None:
        deadline_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline_s:
            names = self._environment.targets
            statuses = {self._environment.target_status(name) for name in names}
            partition_holders = {
                holder.host_id
                for running_host in self._environment.hosts.values()
                for holder in running_host.host.node.fold.holders.values()
            }
            if 'unowned' not in statuses and partition_holders:
                await asyncio.sleep(SETTLE_S)
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise GuaranteeViolatedError('the hosts did not start to serve')

    async def _watch_ejections(self) -> None:
        while True:
            for name in self._environment.targets:
                if self._environment.target_status(name) == 'ejected':
                    self._ejected.add(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _slow_target_down(self) -> None:
        name = f'{self._services[0]}-01'
        self._slowed.add(name)
        behaviour = self._environment.targets[name].state.behaviour
        behaviour.slow_factor = GRAY_SLOW_FACTOR
        started_s = time.monotonic()
        detected_s = await self._wait_for_status(name, 'ejected')
        behaviour.slow_factor = 1
        self._outcomes.append(
            _check_duration(
                'gray target out of use', detected_s, EJECTION_LIMIT_S
            ),
        )
        await asyncio.sleep(max(0, RECOVERY_S - time.monotonic() + started_s))

    async def _wait_for_status(self, name: str, status: str) -> float | None:
        started_s = time.monotonic()
        while time.monotonic() - started_s < OBSERVATION_S:
            if self._environment.target_status(name) == status:
                return time.monotonic() - started_s
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _take_domain_out(self) -> None:
        domain = next(iter(self._environment.objects.domains))
        started_s = time.monotonic()
        await self._environment.publish(set_domain_edit(domain, 'out'))
        await asyncio.sleep(OBSERVATION_S)
        last_s = max(started_s, self._last_run_in(domain))
        self._outcomes.append(
            _check_duration(
                'no new work in a domain taken out',
                last_s - started_s,
                DOMAIN_OUT_LIMIT_S,
            ),
        )
        await self._environment.publish(set_domain_edit(domain, 'active'))
        await asyncio.sleep(RECOVERY_S)

    def _last_run_in(self, domain: str) -> float:
        targets = self._environment.objects.targets
        return max(
            (
                server.state.runs[-1].at_s
                for name, server in self._environment.targets.items()
                if targets[name].domain == domain and server.state.runs
            ),
            default=0,
        )

    async def _withdraw_key(self) -> None:
        customer = self._customers[0]
        started_s = time.monotonic()
        await self._environment.publish(withdraw_key_edit(f'{customer}-1'))
        await asyncio.sleep(OBSERVATION_S)
        last_s = max(
            (
                response.started_s
                for response in self._load.responses
                if response.customer == customer and response.status == OK
            ),
            default=started_s,
        )
        self._outcomes.append(
            _check_duration(
                'withdrawn key stops working',
                max(0, last_s - started_s),
                KEY_WITHDRAWAL_LIMIT_S,
            ),
        )

    async def _make_log_unavailable(self) -> None:
        started_s = time.monotonic()
        self._environment.platform.faults.is_away = True
        await asyncio.sleep(LOG_OUTAGE_S)
        self._environment.platform.faults.is_away = False
        responses_during = [
            response
            for response in self._load.responses
            if started_s <= response.started_s
        ]
        withdrawn = self._customers[0]
        refused = [
            response
            for response in responses_during
            if response.status in {401, 503} and response.customer != withdrawn
        ]
        self._outcomes.append(
            Outcome(
                'refused because the log was away',
                f'{len(refused)} of {len(responses_during)}',
                '0',
                not refused,
            ),
        )

    async def _restart_host(self) -> None:
        host_id, running_host = next(iter(self._environment.hosts.items()))
        domain = running_host.host.settings.host.domain
        started_s = time.monotonic()
        await self._environment.stop_host(host_id)
        stopped_s = time.monotonic() - started_s
        self._outcomes.append(
            _check_duration(
                'graceful stop of a host', stopped_s, GRACEFUL_STOP_LIMIT_S
            ),
        )
        self._environment.start_host(f'{host_id}-new', domain)

    def _summarize(self) -> None:
        responses = self._load.responses
        runs = [
            run
            for server in self._environment.targets.values()
            for run in server.state.runs
        ]
        self._outcomes.extend(check_records(responses, runs))
        self._outcomes.append(self._check_limit(runs))
        false_ejections = self._ejected - self._slowed
        self._outcomes.append(
            Outcome(
                'false ejections',
                str(len(false_ejections)),
                '0',
                not false_ejections,
            ),
        )
        self._outcomes.extend(self._measured_values(responses))

    def _check_limit(self, runs: list[Run]) -> Outcome:
        over_limit_customer = self._customers[-1]
        limit = self._limit(over_limit_customer)
        times = [
            run.at_s for run in runs if run.customer == over_limit_customer
        ]
        excess = max_excess_over_limit(
            times, limit.rate_per_s, limit.burst_requests
        )
        return Outcome(
            f'runs above the limit of {over_limit_customer}',
            f'{max(0, excess):.0f} of {len(times)}',
            '0',
            excess <= 0,
        )

    def _measured_values(self, responses: list[Response]) -> list[Outcome]:
        over_limit_customer = self._customers[-1]
        steady = [
            response
            for response in responses
            if response.customer
            not in {over_limit_customer, self._customers[0]}
        ]
        refused_within_limit = [
            response
            for response in steady
            if response.status == TOO_MANY_REQUESTS
        ]
        served = [response for response in steady if response.status == OK]
        latencies = [response.latency_s for response in served]
        served_ratios = [
            sum(response.status == OK for response in own) / len(own)
            for customer in self._customers[1:-1]
            if (own := [one for one in steady if one.customer == customer])
        ]
        return [
            Outcome(
                'refused although inside the rate',
                f'{len(refused_within_limit)} of {len(steady)}',
                '0',
            ),
            Outcome(
                'worst-served customer inside its rate',
                f'{min(served_ratios, default=0):.2%} answered',
                '',
            ),
            Outcome(
                'latency p50 / p99',
                f'{quantile(latencies, 0.5) * _MS_PER_S:.1f} / '
                f'{quantile(latencies, 0.99) * _MS_PER_S:.1f} ms',
                '',
            ),
            Outcome('requests', str(len(responses)), ''),
        ]


def render_table(outcomes: list[Outcome]) -> str:
    """Format the outcomes as a plain-text table."""
    marks = {True: 'kept', False: 'BROKEN', None: ''}
    width = max(len(outcome.name) for outcome in outcomes)
    lines = [f'{"outcome":{width}}  {"measured":24} {"stated":10}']
    lines.extend(
        f'{outcome.name:{width}}  {outcome.measured:24} '
        f'{outcome.stated:10} {marks[outcome.is_kept]}'
        for outcome in outcomes
    )
    return '\n'.join(lines)


def _check_duration(
    name: str,
    seconds: float | None,
    limit_s: float,
) -> Outcome:
    if seconds is None:
        return Outcome(name, 'never', f'{limit_s} s', is_kept=False)
    return Outcome(
        name,
        f'{seconds:.2f} s',
        f'{limit_s} s',
        seconds <= limit_s,
    )
