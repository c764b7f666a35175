"""Freezes the store that owns the pool of the closed tenant for 25 s and wakes it."""


def run(trial):
    trial.sleep(5)
    victim = trial.pool_owner()
    trial.batches.submit("freeze-control", 60)
    trial.sleep(1)
    victim.freeze()
    trial.mark(f"froze {victim.name}", event=True)
    trial.sleep(25)
    trial.extra["slot_partitions_while_frozen"] = {
        store.name: sum(1 for e in trial.fleet.status(store)["epochs"] if e["table"] == "slots")
        for store in trial.fleet.stores
        if store is not victim
    }
    victim.wake()
    trial.mark(f"woke {victim.name}")
    trial.sleep(10)
    trial.extra["slot_partitions_at_end"] = trial.slot_owners()
