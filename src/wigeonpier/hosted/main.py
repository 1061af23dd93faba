"""Starts one of the hosted daemons."""

from __future__ import annotations

import argparse
import signal
import sys
from types import MappingProxyType
from typing import TYPE_CHECKING

import gevent

from wigeonpier.hosted.common import APPLIED_AT_ONCE, DaemonContext
from wigeonpier.hosted.entry import EntryApp
from wigeonpier.hosted.storage import StorageApp
from wigeonpier.hosted.worker import WorkerApp
from wigeonpier.platform.process import find_settings, read_settings
from wigeonpier.process import run_until_signal
from wigeonpier.settings.document import DocumentError
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import configure_logs, log_event
from wigeonpier.telemetry.sink import LineSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.process import App

USAGE_STATUS = 2
# Reserved for the last bytes of answers before the platform kills the process.
KILL_MARGIN_SECONDS = 0.6
ROLES: MappingProxyType[str, Callable[[DaemonContext], App]] = MappingProxyType(
    {'entry': EntryApp, 'worker': WorkerApp, 'storage': StorageApp},
)


def main() -> int:
    """Run a daemon until a signal stops it.

    :returns: exit status.
    """
    parser = argparse.ArgumentParser('wigeonpier-hosted')
    parser.add_argument('role', choices=sorted(ROLES), help='what to run')
    parser.add_argument(
        '--settings',
        default=find_settings(),
        help='settings file of the platform (default: %(default)s)',
    )
    parser.add_argument(
        '--log-level',
        default='info',
        choices=('debug', 'info', 'warning', 'error'),
        help='lowest level that is logged (default: %(default)s)',
    )
    parsed = parser.parse_args()
    try:
        settings = read_settings(parsed.settings)
    except DocumentError as error:
        sys.stderr.write(f'{error}\n')
        return USAGE_STATUS
    sink = LineSink(sys.stdout)
    configure_logs(settings.name, parsed.log_level, sink)
    context = DaemonContext(settings)
    gevent.signal_handler(signal.SIGHUP, reload, context, parsed.settings)
    context.metrics.add_gauge('log_lines_dropped', lambda: sink.dropped)
    status = run_until_signal(
        parsed.role,
        settings.bounds.grace - KILL_MARGIN_SECONDS,
        ROLES[parsed.role](context),
    )
    sink.drain()
    return status


def reload(context: DaemonContext, path: str) -> None:
    """Reload the settings, and keep the current ones if the file is invalid.

    :param context: components that use the settings.
    :param path: the settings file.
    """
    try:
        settings = read_settings(path)
    except DocumentError as error:
        log_event(Event.settings_refused, problem=str(error))
        return
    changed = context.apply(settings)
    log_event(
        Event.settings_reloaded,
        applied=sorted(changed & APPLIED_AT_ONCE),
        at_next_start=sorted(changed - APPLIED_AT_ONCE),
    )


if __name__ == '__main__':
    sys.exit(main())
