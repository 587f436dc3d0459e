"""Validation of settings files and bundles."""

import pathlib

import pytest

from swiftstile import cli
from swiftstile import errors
from swiftstile import settings
from swiftstile.bundles import model
from swiftstile.commandline import shared

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
MINIMAL = """[vm]
id = v
failure_domain = d
organisations = o
[platform]
table_url = http://127.0.0.1:1
objects_url = http://127.0.0.1:1
vms_url = http://127.0.0.1:1
"""


def write(tmp_path, text):
    path = tmp_path / "vm.ini"
    path.write_text(text)
    return path


@pytest.mark.parametrize("name", ["himal", "haddad"])
def test_examples_load(name):
    loaded = settings.load(EXAMPLES / f"{name}-vm.ini")
    assert loaded.vm.organisations == (name,)
    assert loaded.router and loaded.coordinator
    text = (EXAMPLES / f"{name}-bundle.ini").read_text()
    bundle = model.parse(text, name)
    assert bundle.organisation == name
    kinds = {spec.ownership for spec in bundle.services.values()}
    assert kinds == set(model.Ownership)


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("[routr]\nlisten = x:1\n", "[routr]: unknown section"),
        ("[router]\nlisten = nowhere\n", "[router] listen: expected host:port"),
        ("[router]\nlisen = 1.1.1.1:1\n", "[router] lisen: unknown option"),
        ("[router]\n", "[router] listen: missing"),
        (
            "[coordinator]\nlisten = 1.1.1.1:1\npromise_s = soon\n",
            "[coordinator] promise_s: Expected `float`",
        ),
        (
            "[coordinator]\nlisten = 1.1.1.1:1\npromise_s = 0.5\n",
            "[coordinator] promise_s: expected more than 0.85",
        ),
        (
            "[coordinator]\nlisten = 1.1.1.1:1\npromise_s = nan\n",
            "[coordinator] promise_s: expected more than 0",
        ),
        ("[log]\njson = maybe\n", "[log] json: Expected `bool`"),
    ],
)
def test_error_names_file_section_option_and_expected_value(
    tmp_path, extra, expected
):
    path = write(tmp_path, MINIMAL + extra)
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(path)
    assert str(path) in str(caught.value)
    assert expected in str(caught.value)


def test_all_settings_faults_are_reported_together(tmp_path):
    path = write(tmp_path, "[vm]\nid = v\n[odd]\nx = 1\n")
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(path)
    for part in ("[odd]", "failure_domain", "organisations", "[platform]"):
        assert part in str(caught.value)


@pytest.mark.parametrize("text", ["no section", "[vm]\nid=1\n[vm]\n", "\x00"])
def test_check_settings_prints_one_line_and_exits_with_2(
    tmp_path, text, capsys
):
    path = write(tmp_path, text)
    assert cli.main(["check-settings", str(path)]) == shared.EXIT_USAGE
    captured = capsys.readouterr()
    assert len(captured.err.splitlines()) == 1
    assert str(path) in captured.err


def test_check_settings_accepts_minimal_file(tmp_path, capsys):
    path = write(tmp_path, MINIMAL)
    assert cli.main(["check-settings", str(path)]) == shared.EXIT_OK
    assert "ok" in capsys.readouterr().out


def test_all_bundle_faults_are_reported_together():
    text = (
        "[bundle]\norganisation = Bad Name\n"
        "[service one]\nownership = owned\nslots = 0\n"
        "[service two]\nupstream_group = g\nchurn_budget = 2\n"
        "[servce three]\n"
    )
    with pytest.raises(errors.BundleError) as caught:
        model.parse(text, "b.ini")
    for part in (
        "organisation",
        "ownership",
        "upstream_group: missing",
        "churn_budget: expected 0 to 1",
        "[servce three]",
    ):
        assert part in str(caught.value)


def test_digest_depends_on_content_only():
    text = (EXAMPLES / "himal-bundle.ini").read_text()
    one, same = model.parse(text, "a"), model.parse(text, "b")
    other = model.parse(text.replace("slots = 3", "slots = 4"), "c")
    assert model.digest(one) == model.digest(same) != model.digest(other)
