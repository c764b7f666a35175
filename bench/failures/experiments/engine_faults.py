"""Engines crash, drain, answer late, crossed and cut, and reset connections."""

OPTIONS = {"repeatable_share": 0.3}
PAUSE_S = 5


def run(trial):
    engines = trial.fleet.engines
    trial.sleep(3)
    trial.batches.submit("engine-faults", 100)
    trial.mark("first fault", event=True)
    for engine, action, values in (
        (engines[0], "cross", {}),
        (engines[1], "cut", {"after_events": 3}),
        (engines[2], "reset", {}),
        (engines[3], "late", {"seconds": 3}),
    ):
        trial.control_engine(engine, action, **values)
        trial.mark(f"{engine.name}: {action}")
        trial.sleep(PAUSE_S)
        trial.control_engine(engine, "normal")
    trial.control_engine(engines[4], "crash")
    trial.mark(f"{engines[4].name}: crash")
    trial.sleep(PAUSE_S)
    engines[4].process.wait()
    engines[4].start()
    drain(trial, engines[5])
    trial.sleep(PAUSE_S)


def drain(trial, engine):
    """A draining engine gets no new request 3 s after it said so."""
    trial.control_engine(engine, "drain")
    trial.mark(f"{engine.name}: drain")
    trial.sleep(3)
    trial.read_log(engine)
    before = trial.logs.received(engine.name)
    trial.sleep(PAUSE_S)
    trial.read_log(engine)
    after = trial.logs.received(engine.name)
    trial.extra["requests_to_drained_engine"] = after - before
    trial.require(after == before, "a draining engine got new requests after 3 s")
    trial.control_engine(engine, "undrain")
