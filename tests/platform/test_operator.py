"""Customers of the operator's configuration, valid and invalid."""

from __future__ import annotations

import msgspec

from tests.hosted.builders import make_configuration, make_customer
from wigeonpier.platform.operator import (
    decode_configuration,
    encode_configuration,
)
from wigeonpier.served import ClientLimits, ServedCustomer


def decode(*customers: dict, **changes: object):
    content = make_configuration(tenants=list(customers), **changes)
    return decode_configuration(msgspec.json.encode(content))


def test_customer_is_found_by_each_of_its_keys() -> None:
    found = decode(
        make_customer('a', 'k1', 'k2', ratePerS=3, burst=4, priority=1),
        make_customer('b', 'k3', unknown=1),
    )
    first = ServedCustomer('a', 1, 3, 4)
    assert found.customers == {
        'k1': first,
        'k2': first,
        'k3': ServedCustomer('b'),
    }
    assert not found.warnings


def test_a_configuration_without_customers_needs_no_key() -> None:
    raw = msgspec.json.encode(make_configuration())
    assert decode_configuration(raw).customers is None
    assert decode().customers == {}


def test_invalid_customers_give_warnings_and_are_not_refused() -> None:
    found = decode(
        make_customer('a', 'secret'),
        make_customer('b', 'secret', 'k2'),
        {'apiKeys': ['k3']},
        make_customer('a', 'k4'),
    )
    assert found.customers['secret'].name == 'a'
    assert found.customers['k2'].name == 'b'
    assert 'k3' not in found.customers
    assert len(found.warnings) == 3
    assert 'secret' not in str(found.warnings)


def test_encoded_configuration_is_decoded_unchanged() -> None:
    found = decode(
        make_customer('a', 'k1', 'k2', ratePerS=3, burst=4, priority=1),
        make_customer('b', 'k3'),
    )
    assert decode_configuration(encode_configuration(found)) == found


def test_limits_of_clients_are_read_and_have_defaults() -> None:
    limits = {'maxBodyBytes': 1, 'headerTimeoutMs': 2500, 'idleTimeoutMs': 0}
    raw = msgspec.json.encode({'version': 1, 'routes': [], 'limits': limits})
    assert decode_configuration(raw).client_limits == ClientLimits(
        head_seconds=2.5
    )
