"""Tests valid and invalid settings files of the gateway."""

import pytest

from swiftstile import cli
from swiftstile import errors
from swiftstile.commandline import shared
from swiftstile.gateway import settings

_GOOD = """
[vm]
id = vm-1
failure_domain = z1
listen = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3

[store]
address = 127.0.0.1:4
"""


def _load(tmp_path, text: str) -> settings.GatewaySettings:
    file = tmp_path / "gateway.ini"
    file.write_text(text)
    return settings.load(file)


def test_defaults_apply_to_missing_options(tmp_path):
    loaded = _load(tmp_path, _GOOD)
    assert settings.parse_seconds(loaded.bounds.grace) == 6.0
    assert loaded.vm.metrics == ""


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ("id = vm-1", "id =", "[vm] id: is empty"),
        ("127.0.0.1:4", "", "[store] address: is empty"),
        ("127.0.0.1:2", "nowhere", "[vm] ready: expected host:port"),
        ("[store]", "[bounds]\ndrain = 2\n[store]", "[bounds] drain"),
        ("[store]", "[shop]", "[store]: section missing"),
        ("id = vm-1", "id = vm-1\nodd = 1", "[vm] odd: unknown option"),
    ],
)
def test_the_error_names_the_fault(tmp_path, old, new, problem):
    with pytest.raises(errors.SettingsError) as caught:
        _load(tmp_path, _GOOD.replace(old, new))
    assert problem in str(caught.value)


def test_the_error_lists_all_faults(tmp_path):
    text = _GOOD.replace("id = vm-1", "id =").replace("127.0.0.1:2", "x")
    with pytest.raises(errors.SettingsError) as caught:
        _load(tmp_path, text)
    assert "id: is empty" in str(caught.value)
    assert "ready: expected" in str(caught.value)


def test_the_command_checks_a_file(tmp_path, capsys):
    file = tmp_path / "gateway.ini"
    file.write_text(_GOOD)
    assert cli.main(["check-gateway", str(file)]) == shared.EXIT_OK
    file.write_text("[vm]\n")
    assert cli.main(["check-gateway", str(file)]) == shared.EXIT_USAGE
    assert "check settings" in capsys.readouterr().err
