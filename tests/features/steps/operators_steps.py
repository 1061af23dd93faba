"""Steps for the command line."""

from __future__ import annotations

import contextlib
import io
from importlib import resources
from typing import TYPE_CHECKING

from behave import then, when

from wigeonpier.cli.main import main

if TYPE_CHECKING:
    from behave.runner import Context

BROKEN = '{"data_centres": {}, "services": {"s": {"kind": "odd"}}}'


@when('the operator runs "{command}"')
def run_command(context: Context, command: str) -> None:
    bench = context.bench
    entry = bench.site.find_entry()
    koro = resources.files('wigeonpier') / 'examples' / 'koro'
    broken = bench.site.folder / 'broken.jsonc'
    broken.write_text(BROKEN)
    replacements = {
        'BASE': str(koro / 'base.jsonc'),
        'NADI': str(koro / 'overlays' / 'nadi-1.jsonc'),
        'JOB': bench.job,
        'BROKEN': str(broken),
    }
    arguments = [replacements.get(word, word) for word in command.split()]
    if arguments[:2] != ['config', 'check']:
        position = 2 if arguments[0] == 'config' else 1
        arguments[position:position] = [
            '--admin',
            entry.app.admin.address,
            '--key',
            entry.settings.peer_keys[0],
        ]
    shown = io.StringIO()
    with contextlib.redirect_stdout(shown), contextlib.redirect_stderr(shown):
        context.status = main(arguments)
    context.shown = shown.getvalue()


@then('it ends with status {status:d} and shows "{text}"')
def check_command(context: Context, status: int, text: str) -> None:
    assert context.status == status, context.shown
    assert text in context.shown, context.shown
