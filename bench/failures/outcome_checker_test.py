"""Each kind of wrong outcome must be found by the checker. Run: python3 outcome_checker_test.py"""

import collections
import os
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "tools", "lib")]

from batch_load import ITEM_TOKENS, BatchRecord  # noqa: E402
from engine_answer import expected_answer, make_prompt  # noqa: E402
from live_load import CallRecord  # noqa: E402
from outcome_checker import check_batches, check_live  # noqa: E402

TOKENS = 4


def answered_call():
    record = CallRecord("acme", None, make_prompt("live", 1), TOKENS, True, False)
    record.request_id = "one"
    record.status = 200
    record.whole = True
    record.text = record.expected()
    record.numbers = list(range(TOKENS))
    return record


def item_answer(prompt):
    return {"choices": [{"message": {"content": expected_answer(prompt, ITEM_TOKENS)}}]}


def finished_batch():
    batch = BatchRecord("batch", 2, repeatable=False)
    batch.batch_id = "b7"
    batch.note_page(page(batch), 0)
    return batch


def page(batch):
    return {
        "results": [
            {"position": at, "state": "done", "body": item_answer(prompt)}
            for at, prompt in enumerate(batch.prompts)
        ]
    }


def found(records=(), batches=(), **received):
    counts = collections.Counter({name.replace("_", "-"): n for name, n in received.items()})
    wrong = {**check_live(records, counts), **check_batches(batches, counts)}
    return sorted(kind for kind, examples in wrong.items() if examples)


class CheckerTest(unittest.TestCase):
    def test_good_outcomes_pass(self):
        self.assertEqual(found([answered_call()], [finished_batch()], one=1, b7_0_1_1=1), [])

    def test_known_digest(self):
        # From the stand-in engine's own answer to this prompt.
        self.assertEqual(expected_answer(make_prompt("live", 1), 2), "6f8e6c15f2dc432d t1")

    def test_live_calls(self):
        def altered(**values):
            record = answered_call()
            for name, value in values.items():
                setattr(record, name, value)
            return [record]

        other = expected_answer(make_prompt("live", 2), TOKENS)
        short = expected_answer(make_prompt("live", 1), TOKENS - 1)
        self.assertEqual(found(altered(text=other)), ["foreign_answer"])
        self.assertEqual(found(altered(text=short)), ["cut_answer_looks_complete"])
        self.assertEqual(found(altered(numbers=[0, 1, 3])), ["event_number_gap"])
        refused = altered(status=503, ran="no", whole=False, text="", numbers=[])
        self.assertEqual(found(refused), [])
        self.assertEqual(found(refused, one=1), ["ran_no_but_ran"])
        self.assertEqual(found([answered_call()], one=2), ["ran_twice"])
        self.assertEqual(found(altered(repeatable=True), one=2), [])

    def test_batches(self):
        self.assertEqual(
            found([], [finished_batch()], b7_0_1_1=1, b7_0_2_5=1), ["batch_item_ran_twice"]
        )
        missing = finished_batch()
        del missing.results[1]
        self.assertEqual(found([], [missing]), ["batch_item_missing"])
        changed = finished_batch()
        later = page(changed)
        later["results"][0]["state"] = "failed"
        changed.note_page(later, 0)
        self.assertEqual(found([], [changed]), ["batch_item_changed"])
        crossed = BatchRecord("batch", 2, repeatable=False)
        crossed.batch_id = "b7"
        crossed.prompts.reverse()
        answers = page(crossed)
        crossed.prompts.reverse()
        crossed.note_page(answers, 0)
        self.assertEqual(found([], [crossed]), ["batch_foreign_answer"])


if __name__ == "__main__":
    unittest.main()
