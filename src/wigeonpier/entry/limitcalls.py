"""Sends the calls between entries that enforce the limits of customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err

from wigeonpier.entry.limits import Fleet
from wigeonpier.membership.messages import LimitAnswer
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.membership.directory import Directory
    from wigeonpier.membership.messages import LimitCall
    from wigeonpier.membership.reporter import HeartbeatSender
    from wigeonpier.process import Components

LIMIT_PATH = '/peer/v1/limit'
# The caller's request waits for this call before it is forwarded.
CALL_TIMEOUT_SECONDS = 0.25


def make_fleet(
    components: Components,
    directory: Directory,
    heartbeat_sender: HeartbeatSender,
) -> Fleet:
    """Make the access of the limits to the other entries.

    :param components: address of this entry and its connections.
    :param directory: entries that have sent heartbeats.
    :param heartbeat_sender: entries that are known from replies and settings.
    :returns: the access.
    """

    def list_entries() -> list[str]:
        # What the others have admitted is unknown before the first replies.
        return (
            directory.list_live_entries()
            if heartbeat_sender.has_tried_all
            else []
        )

    def count_entries() -> int:
        known = directory.list_entries()
        return len(
            {*known, *heartbeat_sender.peers.entries, components.address}
        )

    def call_owner(owner: str, call: LimitCall) -> LimitAnswer | None:
        called = components.client.call(
            owner,
            'POST',
            LIMIT_PATH,
            msgspec.json.encode(call),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        if isinstance(called, Err) or not called.ok_value.is_good:
            return None
        try:
            return called.ok_value.decode(LimitAnswer)
        except msgspec.DecodeError as error:
            log_event(Event.limit_unreadable, entry=owner, why=str(error))
            return None

    return Fleet(
        lambda: components.address, list_entries, count_entries, call_owner
    )
