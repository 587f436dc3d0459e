"""Tests valid and invalid settings files of the gateway."""

import pytest

from swiftstile import cli
from swiftstile import errors
from swiftstile.commandline import shared
from swiftstile.gateway import load_settings
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
        (
            "[store]",
            "[load]\nplacement = maybe\n[store]",
            "[load] placement: Invalid enum value 'maybe'; expected one of "
            "auto, on, off",
        ),
        (
            "[store]",
            "[limits]\nmemory_mb = 20\n[store]",
            "[limits] memory_mb: Expected `float` >= 96.0",
        ),
        (
            "[store]",
            "[limits]\nmax_fds = 100\n[store]",
            "[limits] max_fds: Expected `int` >= 600",
        ),
        ("[store]", "[shop]", "[store]: section missing"),
        ("id = vm-1", "id = vm-1\nodd = 1", "[vm] odd: unknown option"),
    ],
)
def test_the_error_names_the_fault(tmp_path, old, new, problem):
    with pytest.raises(errors.SettingsError) as caught:
        _load(tmp_path, _GOOD.replace(old, new))
    assert problem in str(caught.value)


def test_limits_of_the_platform_are_read(tmp_path):
    text = _GOOD + "\n[limits]\nmemory_mb = 300\nmax_fds = 4100\n"
    limits = _load(tmp_path, text).limits
    assert (limits.memory_mb, limits.max_fds) == (300.0, 4100)


def test_limits_that_the_platform_leaves_empty_have_defaults(tmp_path):
    text = _GOOD + "\n[limits]\nmemory_mb =\nmax_fds =\n"
    limits = _load(tmp_path, text).limits
    assert (limits.memory_mb, limits.max_fds) == (256.0, 4096)


def test_load_decisions_are_automatic_unless_set(tmp_path):
    loaded = _load(tmp_path, _GOOD).load
    assert loaded.placement is load_settings.Switch.AUTO
    assert loaded.returning_callers is load_settings.Switch.AUTO
    assert loaded.fast_signal is load_settings.Switch.AUTO
    loaded = _load(tmp_path, _GOOD + "\n[load]\nplacement = off\n").load
    assert loaded.placement is load_settings.Switch.OFF
    assert loaded.fast_signal is load_settings.Switch.AUTO


def test_queue_limits_and_fair_shares_are_off_unless_set(tmp_path):
    # By default, they rejected requests below capacity in large domains.
    loaded = _load(tmp_path, _GOOD).load
    assert loaded.queue_limits is load_settings.Switch.OFF
    assert loaded.fair_shares is load_settings.Switch.OFF
    text = _GOOD + "\n[load]\nfair_shares = on\nqueue_limits = auto\n"
    loaded = _load(tmp_path, text).load
    assert loaded.fair_shares is load_settings.Switch.ON
    assert loaded.queue_limits is load_settings.Switch.AUTO


@pytest.mark.parametrize(
    ("switch", "vms", "expected"),
    [
        (load_settings.Switch.AUTO, 6, False),
        (load_settings.Switch.AUTO, 7, True),
        (load_settings.Switch.ON, 1, True),
        (load_settings.Switch.OFF, 60, False),
    ],
)
def test_automatic_means_on_in_domains_with_many_vms(switch, vms, expected):
    assert load_settings.is_on(switch, vms) is expected


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
