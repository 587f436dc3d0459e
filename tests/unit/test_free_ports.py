"""Ports of processes that tests start.

A site of a test didn't come to serve within 30 s, in one run of many: two of
the four ports that were drawn for a process were the same, as each was given
back before the next was drawn. Evidence: its settings named one port for its
ready page and for its peers, and it ended with "Address in use".
"""

from benchmarks import processes


def test_no_port_is_given_twice(monkeypatch):
    first, second = processes.free_ports(2)
    drawn = iter([first, first, second, second + 1, second + 1, second + 2])
    monkeypatch.setattr("random.randint", lambda *_: next(drawn))
    monkeypatch.setattr(processes, "_given", set())
    found = processes.free_ports(3, "127.99.99.1")
    assert found == [first, second, second + 1]


def test_ports_drawn_together_differ():
    # Drawn one by one and given back, some list would hold a port twice.
    for _ in range(60):
        ports = processes.free_ports(50, "127.99.99.2")
        assert len(set(ports)) == len(ports)
