from hypothesis import HealthCheck, settings

# The same verdict on every run: generated inputs come from the test alone, and time limits don't count.
settings.register_profile(
    "same",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
settings.load_profile("same")
