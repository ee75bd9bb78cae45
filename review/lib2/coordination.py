"""The project's stand-in for the coordination service and its registrars."""

import subprocess
import time

from standins import CannotRun

GLENCTL = "target/release/glenctl"


class Service:
    """The coordination service: `glenctl stand-in coordination`."""

    def __init__(self, case, members=3):
        self.case = case
        child = case.start("coordination", [GLENCTL, "stand-in", "coordination", "--members", str(members)],
                           pipe=True, stdin=subprocess.PIPE)
        self.addresses = []
        for _ in range(members):
            line = child.stdout.readline().decode().strip()
            if not line:
                raise CannotRun("the coordination service did not start")
            self.addresses.append(line.split()[-1])
        case.note(f"coordination service at {self.addresses}")

    def operator(self, **fields):
        members = ", ".join(f'"{one}"' for one in self.addresses)
        lines = [f"{name} = {value}" for name, value in fields.items()]
        return "\n".join(['[registrations]', f"members = [{members}]", 'path = "/servers"'] + lines) + "\n"

    def register(self, server, **options):
        """`glenctl register` for a server; returns once the entry is written."""
        command = [GLENCTL, "register", "--members", ",".join(self.addresses), "--name", server.name,
                   "--address", server.address]
        for name, value in options.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        child = self.case.start(f"register-{server.name}", command)
        self.case.wait_for(f"{server.name} is registered", lambda: "is registered" in self.case.log_of(child))
        self.case.note(f"{server.name} is registered")
        return child


def deregister(case, server, child):
    """Tells a registrar to end: it writes the drain, waits, and removes the entry."""
    import signal
    case.signal(child, signal.SIGTERM)
    case.wait_for(f"{server.name} drains", lambda: "is draining" in case.log_of(child))
    case.note(f"{server.name}: its registrar has written that it drains")
    child.wait(timeout=20)
    time.sleep(0.1)
    case.note(f"{server.name}: its registration has ended")
