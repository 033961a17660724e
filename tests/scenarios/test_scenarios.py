"""The scripted scenarios of what must always hold."""

from pytest_bdd import scenarios

scenarios("answers.feature")
scenarios("at_most_once.feature")
scenarios("configuration.feature")
scenarios("memory.feature")
