"""Ports of processes that tests start are distinct.

Guards against drawing the same port twice for one process: each port was
released before the next was drawn. Its settings then had the same port for the
ready page and for peers, the process exited with "Address in use", and the
test's site wasn't ready within 30 s, in one of many runs.
"""

from benchmarks import processes


def test_no_port_is_returned_twice(monkeypatch):
    first, second = processes.free_ports(2)
    drawn = iter([first, first, second, second + 1, second + 1, second + 2])
    monkeypatch.setattr("random.randint", lambda *_: next(drawn))
    monkeypatch.setattr(processes, "_returned_ports", set())
    found = processes.free_ports(3, "127.99.99.1")
    assert found == [first, second, second + 1]


def test_ports_drawn_together_differ():
    # If each port were released before the next is drawn, some of these lists
    # would very likely contain a duplicate.
    for _ in range(60):
        ports = processes.free_ports(50, "127.99.99.2")
        assert len(set(ports)) == len(ports)
