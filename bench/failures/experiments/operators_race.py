"""Operators race on one version and send orders again for lost answers, while a store dies."""

import concurrent.futures
import http.client
import secrets

RACES = 20
RACERS = 3


def run(trial):
    fleet = trial.fleet
    trial.sleep(3)
    trial.mark("races begin", event=True)
    nodes = fleet.controls + fleet.fronts
    winners = []
    with concurrent.futures.ThreadPoolExecutor(RACERS) as pool:
        for race in range(RACES):
            if race == RACES // 2:
                fleet.stores[0].kill()
                nodes.remove(fleet.stores[0])
                trial.mark(f"killed {fleet.stores[0].name}")
            base = current_version(fleet, nodes[1])
            orders = [
                (secrets.token_hex(8), racer, nodes[(race + racer) % len(nodes)])
                for racer in range(RACERS)
            ]
            replies = list(pool.map(lambda order: change(trial, base, *order), orders))
            won = [order for order, reply in zip(orders, replies) if reply == base + 1]
            trial.require(len(won) <= 1, f"race {race}: {len(won)} operators won: {replies}")
            winners += [(base, order) for order in won]
    lost = 0
    for number, (base, (order_id, racer, _)) in enumerate(winners):
        again = change(trial, base, order_id, racer, nodes[number % len(nodes)])
        lost += 1 if again != base + 1 else 0
        trial.require(again == base + 1, f"an order sent again got {again}, first {base + 1}")
    trial.extra["races"] = {"won": len(winners), "of": RACES, "resends_not_as_first": lost}
    trial.require(len(winners) >= RACES - 2, f"only {len(winners)} of {RACES} races had a winner")
    fleet.stores[0].start()
    trial.sleep(5)


def current_version(fleet, node):
    return int(fleet.operator(node, "GET", "/v1/settings").headers["ETag"].strip('"'))


def change(trial, base, order_id, racer, node):
    """Returns the version that the order made, or the error's type."""
    headers = {"If-Match": f'"{base}"', "Order-Id": order_id}
    patch = {"fleet": {"burst": 100 + racer}}
    try:
        reply = trial.fleet.operator(node, "PATCH", "/v1/settings", patch, headers)
    except (OSError, http.client.HTTPException) as failure:
        return repr(failure)
    body = reply.json()
    return body["version"] if reply.status == 200 else body["error"]["type"]
