"""Guard against log fields that hide why a response was late."""

from cassiarail.edge.requests.timeline import Timeline


def test_the_longest_pause_is_told_from_a_late_first_part():
    # Fails if the wait for the first part counts as a pause, or if a pause
    # is forgotten when the stream goes on.
    timeline = Timeline(10)
    for now in (13, 13.1, 13.5, 13.6):
        timeline.record_response(now)
    fields = timeline.describe(4)
    assert fields['longest_pause_s'] == 0.4
    assert fields['response_after_s'] == 3
    assert fields['is_on_time']


def test_the_estimate_is_stated():
    # Fails if an operator can't compare what was expected with what came.
    timeline = Timeline(0)
    assert timeline.describe(1)['expected_s'] is None
    timeline.record_estimate(0.12345, 300)
    fields = timeline.describe(1)
    assert fields['expected_s'] == 0.123
    assert fields['kept_tokens'] == 300
