"""docs/CAPACITY.md agrees with the recorded figures, and the fit is right."""

import pytest
from bench._fit import fit
from bench.capacity_model import Model
from bench.capacity_page import MARKERS, PAGE, rendered, tables
from bench.capacity_record import MODULES, read_results


def test_page_and_figures_agree() -> None:
    """A reader plans a fleet with a table that was worked out from old figures.

    Figures are measured anew and recorded, and nobody makes the page's tables again.
    """
    text = PAGE.read_text(encoding="utf-8")
    assert rendered(text) == text, "run python -m bench.capacity_page"


def test_page_has_every_table() -> None:
    found = MARKERS.findall(PAGE.read_text(encoding="utf-8"))
    assert {name for _, name, _ in found} == set(tables())


def test_every_module_is_recorded() -> None:
    assert set(read_results()) == set(MODULES)


def test_a_slope_needs_four_sizes() -> None:
    with pytest.raises(ValueError, match="4 sizes"):
        fit([(1, 1), (1, 2), (2, 2), (3, 3)])


@pytest.mark.parametrize(
    ("points", "residual"),
    [
        pytest.param([(1, 2), (2, 4), (3, 6), (4, 8)], 0.0, id="straight"),
        pytest.param([(1, 1), (2, 4), (3, 9), (4, 16)], 0.133, id="bent"),
    ],
)
def test_residual_shows_what_a_line_misses(
    points: list[tuple[float, float]], residual: float
) -> None:
    assert fit(points).residual == pytest.approx(residual, abs=0.001)


def test_every_slope_of_the_page_rests_on_four_sizes() -> None:
    assert all(one.line.size_count >= 4 for one in Model(read_results()).slopes())


def test_wait_grows_without_bound_towards_full_load() -> None:
    model = Model(read_results())
    waits_ms = [model.wait_p99_ms(load) for load in (0.001, 0.1, 0.6, 0.9, 1.0)]
    assert waits_ms == sorted(waits_ms)
    assert waits_ms[0] == 0
    assert waits_ms[-1] == float("inf")
