"""Counts wrong outcomes: what callers saw against the engines' logs."""

import collections

BATCH_ID_PARTS_AFTER_POSITION = 2
"""An item's request id is `<batch>-<position>-<epoch>-<attempt>`."""


class EngineLogs:
    """Every request that an engine received, also of engines that have crashed since."""

    def __init__(self):
        self._runs = {}

    def read(self, engine_name, life, runs):
        """Takes the whole log of one life of an engine; a later one replaces an earlier."""
        self._runs[(engine_name, life)] = [run["request_id"] for run in runs]

    def received(self, engine_name):
        """How many requests an engine has received in all its lives."""
        return sum(len(runs) for (name, _), runs in self._runs.items() if name == engine_name)

    def counts(self):
        return collections.Counter(
            request_id for runs in self._runs.values() for request_id in runs
        )


def check_live(records, counts):
    """Examples of wrong outcomes of live calls, by kind."""
    wrong = collections.defaultdict(list)
    repeatable = set()
    for record in records:
        if record.repeatable:
            repeatable.add(record.request_id)
        expected = record.expected()
        if record.text and not expected.startswith(record.text):
            wrong["foreign_answer"].append(record.request_id)
        elif record.whole and record.text != expected:
            wrong["cut_answer_looks_complete"].append(record.request_id)
        if record.numbers != list(range(len(record.numbers))):
            wrong["event_number_gap"].append(record.request_id)
        if record.ran == "no" and counts[record.request_id]:
            wrong["ran_no_but_ran"].append(record.request_id)
        if record.status >= 400 and record.ran not in ("no", "unknown", "yes"):
            wrong["refusal_without_ran"].append(record.request_id)
    for request_id, count in counts.items():
        if count > 1 and "-" not in request_id and request_id not in repeatable:
            wrong["ran_twice"].append(request_id)
    return wrong


def check_batches(batches, counts):
    """Examples of wrong outcomes of batches, by kind."""
    wrong = collections.defaultdict(list)
    runs = item_runs(counts)
    for batch in batches:
        if not batch.batch_id:
            continue
        for position in range(len(batch.prompts)):
            if position not in batch.results:
                wrong["batch_item_missing"].append((batch.name, position))
            if not batch.repeatable and runs[(batch.batch_id, position)] > 1:
                wrong["batch_item_ran_twice"].append((batch.name, position))
        if len(batch.results) > len(batch.prompts) or batch.disordered:
            wrong["batch_item_twice"].append(batch.name)
        wrong["batch_item_changed"] += [(batch.name, *change) for change in batch.changed]
        wrong["batch_foreign_answer"] += [(batch.name, at) for at in batch.wrong_answers()]
    return wrong


def item_runs(counts):
    """(batch id, position) to how often an engine received the item."""
    runs = collections.Counter()
    for request_id, count in counts.items():
        parts = request_id.rsplit("-", BATCH_ID_PARTS_AFTER_POSITION + 1)
        if len(parts) == BATCH_ID_PARTS_AFTER_POSITION + 2 and parts[1].isdigit():
            runs[(parts[0], int(parts[1]))] += count
    return runs
