"""Settings: examples pass, mistakes name their place and what to do."""

from pathlib import Path

import pytest

from gentianwharf.errors import InputError
from gentianwharf.settings import load_rules, load_settings, services_of

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    ("example", "counts"),
    [
        pytest.param("tunis", [16, 8, 13], id="tunis"),
        pytest.param("brazos-bend", [12, 7, 12], id="brazos-bend"),
    ],
)
def test_examples_have_the_sizes_of_today(example: str, counts: list[int]) -> None:
    services = services_of(load_settings(EXAMPLES / example / "settings.jsonc"))
    assert [len(service.servers) for service in services] == counts
    assert load_rules(EXAMPLES / example / "rules.jsonc").rules


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            '"127.0.0.1:8080"', '"gateway:8080"', "host names", id="host-name"
        ),
        pytest.param('"domain": "lac",', '"domain": "nord",', "'nord'", id="domain"),
        pytest.param('"shards": 1024,', "", "needs shards", id="no-shards"),
        pytest.param('"customer"', '"custmer"', "custmer", id="misspelt"),
        pytest.param('"tunis",', '"tunis"', "line 4", id="syntax"),
    ],
)
def test_mistake_names_place_and_remedy(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    text = (EXAMPLES / "tunis" / "settings.jsonc").read_text()
    assert old in text
    path = tmp_path / "settings.jsonc"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(InputError, match=expected) as caught:
        load_settings(path)
    assert caught.value.peer == str(path)
