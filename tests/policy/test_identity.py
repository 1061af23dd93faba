"""Which customer a request is from, and whether that can be known."""

from __future__ import annotations

import pytest

from wigeonpier.policy.identity import Freshness, Verdict, identify
from wigeonpier.policy.ownership import scope_job
from wigeonpier.served import ServedConfiguration, ServedCustomer

CUSTOMER = ServedCustomer('first')
KEYED = ServedConfiguration(1, (), 0, {'k': CUSTOMER})
FREE = ServedConfiguration(1, (), 0)
FRESH = Freshness(0.1, 5)
OLD = Freshness(4, 5)
TOO_OLD = Freshness(4.6, 5)
UNBOUND = Freshness(float('inf'), 0)


@pytest.mark.parametrize(
    ('configuration', 'key', 'freshness', 'is_open', 'verdict', 'customer'),
    [
        (FREE, '', TOO_OLD, False, Verdict.admitted, None),
        (FREE, 'k', TOO_OLD, False, Verdict.admitted, None),
        (KEYED, 'k', FRESH, False, Verdict.admitted, CUSTOMER),
        (KEYED, 'k', OLD, False, Verdict.admitted, CUSTOMER),
        (KEYED, 'k', TOO_OLD, False, Verdict.unsure, None),
        (KEYED, 'k', UNBOUND, False, Verdict.admitted, CUSTOMER),
        (KEYED, 'x', FRESH, False, Verdict.unknown_key, None),
        (KEYED, 'x', OLD, False, Verdict.unsure, None),
        (KEYED, 'x', UNBOUND, False, Verdict.unknown_key, None),
        (KEYED, '', TOO_OLD, False, Verdict.unknown_key, None),
        (KEYED, '', TOO_OLD, True, Verdict.admitted, None),
        (KEYED, 'k', TOO_OLD, True, Verdict.admitted, CUSTOMER),
    ],
)
def test_verdict_depends_on_key_and_age_of_the_configuration(
    configuration, key, freshness, is_open, verdict, customer
) -> None:
    found = identify(configuration, key, freshness, is_open=is_open)
    assert found.verdict is verdict
    assert found.customer is customer


def test_job_names_of_customers_never_collide() -> None:
    jobs = [
        ('', 'j'),
        ('', 'a~j'),
        ('a', 'j'),
        ('a', '~j'),
        ('a~', 'j'),
        ('', '~a~j'),
        ('a/b', 'j'),
        ('a b', 'j'),
    ]
    names = [scope_job(*job) for job in jobs]
    assert len(set(names)) == len(jobs)
    assert scope_job('', 'j') == 'j'
    assert all('/' not in name and ' ' not in name for name in names)
