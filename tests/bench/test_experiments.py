"""The bench's own arithmetic: lines, quantiles, arrivals, the page."""

from __future__ import annotations

import random

import pytest

from wigeonpier.bench.arrivals import Burst, LoadPlan, draw_arrivals
from wigeonpier.bench.capacity import END, START, update_page
from wigeonpier.bench.main import main, make_parser
from wigeonpier.bench.quantiles import find_quantile
from wigeonpier.bench.slopes import fit_line
from wigeonpier.bench.soak import SoakReport


def test_a_line_is_fitted() -> None:
    line = fit_line([1, 2, 4], [3.0, 5.0, 9.0])
    assert line.base == pytest.approx(1)
    assert line.slope == pytest.approx(2)
    assert line.spread == pytest.approx(0)
    assert fit_line([0, 1, 2], [0.0, 3.0, 0.0]).spread == pytest.approx(2)


def test_quantiles_are_measured_values() -> None:
    times = [float(number) for number in range(1, 101)]
    assert find_quantile(times, 0.5) == 50
    assert find_quantile(times, 0.99) == 99
    assert find_quantile(times, 1) == 100


def test_the_same_seed_draws_the_same_arrivals_with_their_burst() -> None:
    plan = LoadPlan(40, 5, is_diurnal=True, bursts=(Burst(20, 22, 10),))
    arrivals = draw_arrivals(plan, random.Random(3))
    assert arrivals == draw_arrivals(plan, random.Random(3))
    assert arrivals != draw_arrivals(plan, random.Random(4))
    inside = sum(20 <= arrival.at < 22 for arrival in arrivals)
    before = sum(18 <= arrival.at < 20 for arrival in arrivals)
    assert inside > 4 * before


def test_figures_go_between_the_marks_only() -> None:
    page = f'head\n{START}\nold\n{END}\ntail\n'
    fresh = update_page(page, 'new')
    assert fresh == f'head\n{START}\n\nnew\n\n{END}\ntail\n'
    assert update_page(fresh, 'new') == fresh


def test_a_stale_page_is_found(tmp_path) -> None:
    page = tmp_path / 'page.md'
    page.write_text(f'{START}\n{END}\n')
    arguments = ['capacity', '--page', str(page)]
    assert main([*arguments, '--check']) == 1
    assert main(arguments) == 0
    assert main([*arguments, '--check']) == 0
    page.write_text(page.read_text().replace('at 96', 'at 97'))
    assert main([*arguments, '--check']) == 1


@pytest.mark.parametrize(
    'bad',
    ['lost', 'doubled', 'wrong', 'one_run_doubled', 'unfinished'],
)
def test_a_soak_is_good_only_if_all_is_well(bad: str) -> None:
    report = SoakReport(seed=1, seconds=1)
    assert report.is_good
    setattr(report, bad, 1)
    assert not report.is_good


def test_each_experiment_shows_its_defaults(capsys) -> None:
    with pytest.raises(SystemExit):
        make_parser().parse_args(['soak', '--help'])
    shown = capsys.readouterr().out
    assert '--seed' in shown
    assert 'default: 15.0' in shown
