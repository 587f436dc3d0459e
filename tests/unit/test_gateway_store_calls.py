"""Number of calls to the store, and the times by which changes are known.

Each call has a price; 2 to 3.6 a VM and second were observed where 0.54 had
been planned. The times are what callers need: a configuration is in force on
all VMs 2 s after its write, and a leaving upstream is known to all VMs after
1.5 s.
"""

import asyncio

import pytest

from swiftstile import clocks
from swiftstile import metrics
from swiftstile import telemetry
from swiftstile.gateway import counted_table
from swiftstile.gateway import interfaces
from tests import gateway_builders as builders
from tests import store_site

_VMS, _DOMAINS = 60, 4
_CONFIG_S, _LEAVING_S = 2.0, 1.5
# As planned for this size.
_PLANNED_CALLS = 0.54


async def _steady() -> store_site.Site:
    site = store_site.Site(_VMS, _DOMAINS)
    await site.write_map()
    site.start()
    await asyncio.sleep(8.0)
    return site


def _reader_killed(site: store_site.Site) -> None:
    reader = site.vms[1]
    reader.is_down = True
    site.store.silent.add(reader.row.node)


def _first_readers_silent(site: store_site.Site) -> None:
    for vm in site.vms[1:_DOMAINS]:
        site.store.silent.add(vm.row.node)


def _no_fault(site: store_site.Site) -> None:
    del site


@pytest.mark.parametrize(
    "fault", [_no_fault, _reader_killed, _first_readers_silent]
)
@pytest.mark.parametrize(
    ("table", "limit_s"),
    [("operations", _CONFIG_S), ("registrations", _LEAVING_S)],
)
def test_a_change_is_known_to_all_vms_in_time(
    monkeypatch, fault, table, limit_s
):
    async def scenario():
        site = await _steady()
        fault(site)
        ages = []
        for number in range(8):
            name = f"row-{number}"
            await site.store.write(table, name)
            written_at = clocks.monotonic()
            name = f"{name}@{site.store.version}"
            await asyncio.sleep(2.3)
            ages += [
                vm.seen_at.get(name, float("inf")) - written_at
                for vm in site.vms
                if not vm.is_down
            ]
        site.stop()
        return max(ages)

    assert store_site.run(monkeypatch, scenario) <= limit_s


@pytest.mark.parametrize("maps_per_s", [0, 2])
def test_calls_stay_below_the_planned_number(monkeypatch, maps_per_s):
    async def scenario():
        site = await _steady()
        begin = clocks.monotonic()
        while clocks.monotonic() < begin + 10.0:
            if maps_per_s:
                await site.write_map()
            await asyncio.sleep(1 / max(1, maps_per_s))
        end = clocks.monotonic()
        site.stop()
        return site.store.calls_between(begin, end) / (end - begin) / _VMS

    assert store_site.run(monkeypatch, scenario) <= _PLANNED_CALLS


def test_one_reader_of_a_domain_follows_key_maps(monkeypatch):
    # Eight readers of 60 VMs made a call each for every map.
    async def scenario():
        site = await _steady()
        site.store.calls.clear()
        for _ in range(40):
            await site.write_map()
            await asyncio.sleep(0.125)
        callers = {node for node, table in site.store.calls if table == "state"}
        # The second reader goes on at once when the first one fails.
        site.store.rejected = {vm.row.node for vm in site.vms[1:_DOMAINS]}
        # The long polls of the first readers end.
        await site.write_map()
        await asyncio.sleep(0.05)
        name, written_at = await site.write_map(), clocks.monotonic()
        await asyncio.sleep(3.0)
        ages = [vm.seen_at[name] - written_at for vm in site.vms]
        site.stop()
        return callers, max(ages)

    callers, age_s = store_site.run(monkeypatch, scenario)
    assert callers == {f"vm-{number:03d}" for number in range(_DOMAINS)}
    assert age_s <= 1.0


def test_each_call_is_counted_by_table_and_reason(monkeypatch):
    async def scenario():
        site = await _steady()
        await site.store.write("registrations", "u")
        await asyncio.sleep(2.0)
        site.store.is_away = True
        await asyncio.sleep(3.0)
        site.store.is_away = False
        await asyncio.sleep(3.0)
        site.store.drop_long_polls()
        await site.write_map()
        await asyncio.sleep(3.0)
        site.stop()
        return site

    site = store_site.run(monkeypatch, scenario)
    counted = {}
    for vm in site.vms:
        for label, count in vm.meters.store_calls.by_label().items():
            counted[label] = counted.get(label, 0) + count
    assert sum(counted.values()) == sum(map(len, site.store.calls.values()))
    for label in (
        "state-start",
        "state-overdue",
        "registrations-change",
        "registrations-poll",
        "operations-outage",
    ):
        assert counted[label] > 0


def test_calls_of_writers_are_counted():
    async def scenario():
        calls = metrics.LabelledCounter()
        table = counted_table.CountedTable(
            "state", builders.MemoryTable(), calls
        )
        await table.write([], [interfaces.Write("a", b"1")])
        await table.probe(1)
        await table.read_all()
        return calls.by_label()

    assert asyncio.run(scenario()) == {
        "state-write": 1,
        "state-probe": 1,
        "state-settle": 1,
    }


def test_the_counter_of_calls_is_exported():
    names = [name for name, _, _ in telemetry._INSTRUMENTS.values()]
    assert "swiftstile.store.calls" in names
