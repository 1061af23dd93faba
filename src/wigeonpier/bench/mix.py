"""The same arrivals under four ways to share upstreams with batch work."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
import msgspec

from wigeonpier.bench.arrivals import Burst, LoadPlan, draw_arrivals
from wigeonpier.bench.fleet import ProcessFleet
from wigeonpier.bench.load import Answer, Client, make_lines
from wigeonpier.bench.quantiles import find_quantile
from wigeonpier.bench.shapes import MIX
from wigeonpier.bench.site import PLANS, SitePlan, read_example
from wigeonpier.settings.deployment import GateKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from wigeonpier.bench.arrivals import Arrival
    from wigeonpier.bench.engine import EngineCount

TARGET_SECONDS = 0.028
SLOTS = 1 + int((TARGET_SECONDS - MIX.step_seconds) / MIX.step_per_stream)
RESERVED_STREAMS = 6
OPEN_STREAMS = 32
ITEM_TOKENS = 60
ANSWER_TOKENS = 32
BURST_FACTOR = 10
BURST_START = 0.6
BURST_SHARE = 0.05
SWEEP_ITEMS = 4000
RATE_SHARE = 0.12
WARM_SECONDS = 8.0
MILLISECONDS = 1000
ENTRIES = 2
QUANTILES = (('p50', 0.5), ('p95', 0.95), ('p99', 0.99))

POLICIES = (
    ('online_alone', GateKind.closed, 1),
    ('no_gate', GateKind.open, OPEN_STREAMS),
    ('fixed_reserve', GateKind.reserve, RESERVED_STREAMS),
    ('ours', GateKind.learned, 1),
)


class PolicyReport(msgspec.Struct):
    """What one policy came to.

    :param first_token_ms: quantiles, queueing included.
    :param between_tokens_ms: quantiles.
    :param answered: whole right answers.
    :param refused: requests that got none.
    :param batch_tokens_per_second: tokens of batch work that engines made.
    :param idle_used: slot-seconds of batch over those that online left.
    """

    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    answered: int
    refused: int
    batch_tokens_per_second: float
    idle_used: float


class MixReport(msgspec.Struct):
    """One seed's run of all policies.

    :param site: deployment.
    :param seed: draws the arrivals.
    :param seconds: measured length of each policy's run.
    :param slots: streams of an engine within the target.
    :param policies: what each came to.
    :param harm_p99_ratio: the larger one of the two p99 ratios, ours over
        online alone; between tokens counts beyond the target only.
    :param idle_used: of ours.
    """

    site: str
    seed: int
    seconds: float
    slots: int
    policies: dict[str, PolicyReport]
    harm_p99_ratio: float
    idle_used: float


def run_mix(
    plan_name: str,
    seed: int,
    seconds: float,
    make_folder: Callable[[str], Path],
) -> MixReport:
    """Run the same arrivals under each policy.

    :param plan_name: deployment.
    :param seed: draws the arrivals.
    :param seconds: measured length of each run.
    :param make_folder: makes an empty folder for a policy's run.
    :returns: the report.
    """
    plan = PLANS[plan_name]
    arrivals = draw_arrivals(_make_load(plan, seconds), random.Random(seed))
    reports = {
        name: _run_policy(plan, kind, streams, arrivals, make_folder(name))
        for name, kind, streams in POLICIES
    }
    ours = reports['ours']
    return MixReport(
        site=plan_name,
        seed=seed,
        seconds=seconds,
        slots=SLOTS,
        policies=reports,
        harm_p99_ratio=measure_harm(reports['online_alone'], ours),
        idle_used=ours.idle_used,
    )


def measure_harm(alone: PolicyReport, ours: PolicyReport) -> float:
    """Compare the tails of a policy with those of online work alone.

    :param alone: online work alone.
    :param ours: the policy.
    :returns: the larger one of the p99 ratios.
    """
    target = TARGET_SECONDS * MILLISECONDS
    first = ours.first_token_ms['p99'] / alone.first_token_ms['p99']
    between = ours.between_tokens_ms['p99'] / max(
        target,
        alone.between_tokens_ms['p99'],
    )
    return round(max(first, between), 3)


def _make_load(plan: SitePlan, seconds: float) -> LoadPlan:
    answer_seconds = ANSWER_TOKENS * TARGET_SECONDS
    capacity = plan.replicas * SLOTS / answer_seconds
    start = WARM_SECONDS + seconds * BURST_START
    burst = Burst(start, start + seconds * BURST_SHARE, BURST_FACTOR)
    return LoadPlan(
        WARM_SECONDS + seconds,
        capacity * RATE_SHARE,
        is_diurnal=True,
        bursts=(burst,),
        length=ANSWER_TOKENS,
    )


def _run_policy(
    plan: SitePlan,
    kind: GateKind,
    streams: int,
    arrivals: list[Arrival],
    folder: Path,
) -> PolicyReport:
    with ProcessFleet(folder, MIX, plan.replicas) as fleet:
        base = _make_base(plan, kind, streams)
        fleet.start(ENTRIES, plan.replicas, ENTRIES, base, plan)
        client = Client(
            [entry.address for entry in fleet.entries.values()],
            plan.key,
            plan.service,
        )
        _submit_sweep(client, len(arrivals))
        beside = gevent.spawn(client.ask_all, arrivals)
        gevent.sleep(WARM_SECONDS)
        before = fleet.count_engines()
        answers = beside.get()
        after = fleet.count_engines()
    measured = [one for one in answers if one.arrival.at >= WARM_SECONDS]
    return _make_report(plan, measured, before, after)


def _submit_sweep(client: Client, questions: int) -> None:
    prompts = [f'corner {number}' for number in range(SWEEP_ITEMS + questions)]
    lines = make_lines(client.model, prompts, ITEM_TOKENS)
    client.create_batch(client.upload(lines))


def _make_base(plan: SitePlan, kind: GateKind, streams: int) -> dict[str, Any]:
    base = read_example(plan.name)
    service = base['services'][plan.service]
    service['gate'] = kind.value
    service['batch_streams'] = streams
    for customer in base['customers'].values():
        customer['limits'] = {
            'requests_per_second': 100_000,
            'tokens_per_second': 10_000_000,
            'concurrent': 10_000,
        }
    return base


def _make_report(
    plan: SitePlan,
    answers: list[Answer],
    before: EngineCount,
    after: EngineCount,
) -> PolicyReport:
    seconds = after.at - before.at
    firsts = [one.first_token for one in answers if one.first_token]
    gaps = [gap for one in answers for gap in one.gaps]
    answered = sum(one.is_right for one in answers)
    online = after.online_seconds - before.online_seconds
    batch = after.batch_seconds - before.batch_seconds
    left = plan.replicas * SLOTS * seconds - online
    tokens = after.batch_tokens - before.batch_tokens
    return PolicyReport(
        first_token_ms=_list_quantiles(firsts),
        between_tokens_ms=_list_quantiles(gaps),
        answered=answered,
        refused=len(answers) - answered,
        batch_tokens_per_second=round(tokens / seconds, 1),
        idle_used=round(batch / left, 3),
    )


def _list_quantiles(times: list[float]) -> dict[str, float]:
    return {
        name: round(find_quantile(times, share) * MILLISECONDS, 1)
        for name, share in QUANTILES
    }
