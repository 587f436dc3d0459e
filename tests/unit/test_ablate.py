"""Each mechanism of the ablation table can still be disabled."""

import pathlib
import shutil

import pytest

from tools import ablate

_ROOT = pathlib.Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("mechanism", ablate.MECHANISMS, ids=lambda m: m.name)
def test_the_edits_of_a_mechanism_match_and_compile(mechanism, tmp_path):
    for edit in mechanism.edits:
        copy = tmp_path / edit.path
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(_ROOT / edit.path, copy)
    ablate.apply(mechanism, tmp_path)
    for edit in mechanism.edits:
        compile((tmp_path / edit.path).read_text(), edit.path, "exec")


def test_an_edit_that_matches_twice_is_rejected(tmp_path):
    (tmp_path / "a.py").write_text("x = 1\nx = 1\n")
    twice = ablate.Mechanism("twice", (ablate.Edit("a.py", "x = 1", "x = 2"),))
    with pytest.raises(ValueError):
        ablate.apply(twice, tmp_path)
