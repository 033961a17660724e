"""The scenarios whose steps are all in conftest.py."""

from pytest_bdd import scenarios

scenarios("answers.feature")
scenarios("at_most_once.feature")
scenarios("configuration.feature")
scenarios("memory.feature")
