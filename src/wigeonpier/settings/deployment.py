"""The deployment's configuration: a base document and an overlay per site."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Annotated, Any

import msgspec

from wigeonpier.settings.document import convert_document

Count = Annotated[int, msgspec.Meta(ge=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
KeyHash = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class ServiceKind(StrEnum):
    """What kind of upstreams a service has."""

    model = 'model'
    plain = 'plain'


class GateKind(StrEnum):
    """How a local process shares its upstream between online and batch.

    ``learned`` is meant for production; the others exist for comparison.
    """

    learned = 'learned'
    reserve = 'reserve'
    open = 'open'
    closed = 'closed'


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """What one customer may use across all entries.

    :param requests_per_second: online requests.
    :param tokens_per_second: tokens of online answers.
    :param concurrent: online requests in flight.
    :param queued_items: unfinished batch items.
    """

    requests_per_second: Positive = 100
    tokens_per_second: Positive = 20_000
    concurrent: Count = 200
    queued_items: Count = 2_000_000


class Customer(msgspec.Struct, forbid_unknown_fields=True):
    """One client account.

    :param key_hashes: SHA-256 of each valid key, hexadecimal.
    :param limits: what it may use.
    :param weight: share of batch capacity against other customers.
    """

    key_hashes: tuple[KeyHash, ...]
    limits: Limits = msgspec.field(default_factory=Limits)
    weight: Positive = 1


class Service(msgspec.Struct, forbid_unknown_fields=True):
    """One service that callers reach.

    :param kind: model engines or plain services.
    :param models: models that its upstreams serve.
    :param idempotent: default for requests that do not state it.
    :param checks_fencing: whether its engines refuse orders with an older
        fencing number.
    :param deadline_seconds: longest time for one online request.
    :param between_tokens_ms: target of the 95th percentile.
    :param first_token_ms: target of the 95th percentile.
    :param gate: how batch work is admitted beside online work.
    :param batch_streams: maximum of batch streams of an upstream, for the
        gates ``reserve`` and ``open``.
    """

    kind: ServiceKind = ServiceKind.model
    models: tuple[str, ...] = ()
    idempotent: bool = True
    checks_fencing: bool = False
    deadline_seconds: Positive = 120
    between_tokens_ms: Positive = 28
    first_token_ms: Positive = 780
    gate: GateKind = GateKind.learned
    batch_streams: Count = 64


class DataCentre(msgspec.Struct, forbid_unknown_fields=True):
    """One data centre.

    :param region: region that it belongs to.
    """

    region: str


class Batch(msgspec.Struct, forbid_unknown_fields=True):
    """How batch jobs are stored and run.

    :param copies: copies of each file and journal, where enough data
        folders are reachable.
    :param least_copies: minimum number of copies; with fewer nothing is
        accepted.
    :param attempts: maximum of failed attempts of an item.
    :param lone_losses: maximum of lost upstreams while an item ran alone and
        no other upstream crashed.
    :param resend_hours: time in which a repeated request is the same job.
    :param retain_days: how long files and results are stored.
    """

    copies: Count = 3
    least_copies: Count = 2
    attempts: Count = 3
    lone_losses: Count = 2
    resend_hours: Positive = 24
    retain_days: Positive = 30


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """The configuration of the deployment at one site.

    :param data_centres: data centres by name.
    :param services: services by name.
    :param customers: client accounts by name.
    :param batch: how batch jobs are stored and run.
    :param body_limit: maximum size of an online request, bytes.
    :param line_limit: maximum size of one batch line, bytes.
    :param upload_limit: maximum size of an uploaded file, bytes.
    """

    data_centres: dict[str, DataCentre]
    services: dict[str, Service]
    customers: dict[str, Customer] = {}
    batch: Batch = msgspec.field(default_factory=Batch)
    body_limit: Count = 4_000_000
    line_limit: Count = 1_000_000
    upload_limit: Count = 4_000_000_000


class Bundle(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the configuration's key in the key-value service.

    :param version: counts up by one with each accepted change.
    :param operation: id of the change that made this version.
    :param operator: name of the operator who made the change.
    :param base: base document.
    :param overlays: overlay by site.
    """

    version: int
    operation: str
    operator: str
    base: dict[str, Any]
    overlays: dict[str, dict[str, Any]] = {}


def merge_overlay(base: Any, overlay: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396) without changing its arguments.

    :param base: any JSON value.
    :param overlay: the patch; ``None`` members delete.
    :returns: the merged value.
    """
    if not isinstance(overlay, dict):
        return overlay
    merged = dict(base) if isinstance(base, dict) else {}
    for key, patch in overlay.items():
        if patch is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_overlay(merged.get(key), patch)
    return merged


def make_effective(bundle: Bundle, site: str) -> Deployment:
    """Make the configuration that applies at a site.

    :param bundle: base and overlays.
    :param site: name of the site.
    :returns: the validated configuration.
    :raises DocumentError: when it is invalid; names the site and each key
        path.
    """
    overlay = bundle.overlays.get(site, {})
    where = f'at site {site}' if site else 'without an overlay'
    return convert_document(
        f'configuration {bundle.version} {where}',
        merge_overlay(bundle.base, overlay),
        Deployment,
    )


def hash_key(key: str) -> str:
    """Hash a customer's key as the configuration stores it.

    :param key: random text of at least 128 bits, so that no salt is needed.
    :returns: SHA-256, hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()
