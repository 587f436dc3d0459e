"""A daemon that starts while its settings are written again reads them whole.

`Fleet.run_cli` writes the settings of a VM again. Written in place, the file
was empty for a moment, and a router that was starting exited with "section
missing".
"""

import pathlib

import pytest

from benchmarks import fleet as fleet_lib
from tests import builders


def test_settings_are_whole_while_they_are_written_again(tmp_path, monkeypatch):
    organisation = builders.tiny_organisation(checks_fence=True)
    fleet = fleet_lib.Fleet(organisation, tmp_path, 1)
    vm = next(iter(fleet.vms.values()))
    monkeypatch.setattr(fleet, "_links", {(vm.domain, "platform"): 1})
    path = fleet.settings_file(vm)
    before = path.read_text()
    write_text = pathlib.Path.write_text

    def stop_halfway(self, text):
        write_text(self, text[: len(text) // 2])
        raise InterruptedError

    monkeypatch.setattr(pathlib.Path, "write_text", stop_halfway)
    with pytest.raises(InterruptedError):
        fleet.settings_file(vm)
    assert path.read_text() == before
