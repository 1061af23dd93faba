"""Settings, the deployment's configuration and its overlays."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import build_entry_settings
from wigeonpier.invariants import violations
from wigeonpier.settings.deployment import Bundle, make_effective, merge_overlay
from wigeonpier.settings.document import (
    DocumentError,
    convert_document,
    load_document,
)
from wigeonpier.settings.holder import ConfigurationHolder
from wigeonpier.settings.process import EntrySettings

BASE = {
    'data_centres': {'a': {'region': 'r'}},
    'services': {'s': {'models': ['m']}},
}
JSON = st.recursive(
    st.one_of(st.booleans(), st.integers(), st.text(max_size=3)),
    lambda inner: st.dictionaries(st.sampled_from('abc'), inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.dictionaries(st.sampled_from('abc'), JSON, max_size=3)


@given(OBJECTS)
def test_empty_overlay_changes_nothing(base) -> None:
    assert merge_overlay(base, {}) == base


@given(OBJECTS, OBJECTS)
def test_overlay_is_idempotent(base, overlay) -> None:
    once = merge_overlay(base, overlay)
    assert merge_overlay(once, overlay) == once


@given(OBJECTS, OBJECTS)
def test_merge_leaves_its_arguments_unchanged(base, overlay) -> None:
    before = msgspec.json.encode([base, overlay])
    merge_overlay(base, overlay)
    assert msgspec.json.encode([base, overlay]) == before


def test_null_deletes_a_member() -> None:
    assert merge_overlay({'a': 1, 'b': {'c': 2}}, {'a': None}) == {
        'b': {'c': 2}
    }


def test_all_mistakes_are_named_with_file_and_key(tmp_path) -> None:
    path = tmp_path / 'entry.jsonc'
    path.write_text(
        '// comments are fine\n'
        '{"name": "e", "data_centre": 5, "platform": "nowhere",\n'
        ' "peer_keys": ["short"], "drain": 3}',
    )
    with pytest.raises(DocumentError) as caught:
        load_document(str(path), EntrySettings)
    text = str(caught.value)
    assert len(caught.value.problems) == 4
    for part in (str(path), 'data_centre', 'platform', 'peer_keys', 'drain'):
        assert part in text


def test_missing_file_is_named() -> None:
    with pytest.raises(DocumentError, match=r'no-such\.jsonc'):
        load_document('no-such.jsonc', EntrySettings)


def test_valid_settings_are_accepted() -> None:
    settings = build_entry_settings()
    plain = msgspec.to_builtins(settings)
    assert convert_document('x', plain, EntrySettings) == settings


def _encode(version: int, **changes) -> bytes:
    bundle = Bundle(
        version=version,
        operation=f'op-{version}',
        operator='o',
        base=BASE | changes,
    )
    return msgspec.json.encode(bundle)


@given(st.lists(st.integers(1, 9), max_size=12))
def test_version_never_decreases(versions) -> None:
    holder = ConfigurationHolder('a')
    highest = 0
    for version in versions:
        adopted = holder.adopt(_encode(version))
        assert adopted == (version > highest)
        highest = max(highest, version)
        assert holder.version == highest
    assert not violations


def test_invalid_configuration_is_not_applied() -> None:
    holder = ConfigurationHolder('a')
    holder.adopt(_encode(1))
    assert not holder.adopt(_encode(2, services={'s': {'kind': 'odd'}}))
    assert holder.version == 1


def test_newest_configuration_is_stored_in_the_data_folder(tmp_path) -> None:
    ConfigurationHolder('a', str(tmp_path)).adopt(_encode(7))
    assert ConfigurationHolder('a', str(tmp_path)).version == 7


def test_only_the_overlay_of_the_site_applies() -> None:
    overlay = {'services': {'s': {'deadline_seconds': 5}}}
    bundle = msgspec.json.decode(_encode(1), type=Bundle)
    bundle.overlays['a'] = overlay
    assert make_effective(bundle, 'a').services['s'].deadline_seconds == 5
    assert make_effective(bundle, 'b').services['s'].deadline_seconds == 120
