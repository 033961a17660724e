"""Tests of the parts of prompts that an engine keeps."""

from camphoryard.coordination.dispatch.kept_prompts import MAX_PARTS, KeptPrompts
from camphoryard.state.dispatch import PromptPart
from camphoryard.state.ids import AdapterId, ModelId, PromptPartId
from camphoryard.state.traffic import RequestedModel

ITEM = RequestedModel(ModelId("m"))
SHARED, OWN, LAST = (
    PromptPart(PromptPartId(name), tokens)
    for name, tokens in (("shared", 350), ("own", 800), ("last", 310))
)
ROOMY = 78_578


class TestKeptPrompts:
    """Tokens that need not be read again."""

    def test_counts_leading_parts_only(self):
        """A part is kept only if all parts before it are."""
        kept = KeptPrompts()
        kept.add(ITEM, (SHARED, LAST), ROOMY)
        assert kept.kept_tokens(ITEM, (SHARED, OWN, LAST)) == SHARED.tokens
        assert kept.kept_tokens(ITEM, (OWN, SHARED)) == 0

    def test_parts_belong_to_one_model_and_adapter(self):
        """Another model or adapter has to read the part again."""
        kept = KeptPrompts()
        kept.add(ITEM, (SHARED,), ROOMY)
        for other in (
            RequestedModel(ModelId("n")),
            RequestedModel(ModelId("m"), AdapterId("a1")),
        ):
            assert kept.kept_tokens(other, (SHARED,)) == 0

    def test_least_recently_used_parts_yield(self):
        """A part that all requests share outlives those of single requests."""
        kept = KeptPrompts()
        for number in range(200):
            own = PromptPart(PromptPartId(str(number)), 1110)
            kept.add(ITEM, (SHARED, own), 5_000)
        assert kept.kept_tokens(ITEM, (SHARED,)) == SHARED.tokens
        oldest = PromptPart(PromptPartId("0"), 1110)
        assert kept.kept_tokens(ITEM, (oldest,)) == 0

    def test_number_of_parts_is_bounded(self):
        """Tiny parts take a bounded amount of memory."""
        kept = KeptPrompts()
        for number in range(MAX_PARTS + 1):
            kept.add(ITEM, (PromptPart(PromptPartId(str(number)), 1),), ROOMY)
        assert kept.kept_tokens(ITEM, (PromptPart(PromptPartId("0"), 1),)) == 0
        assert kept.kept_tokens(ITEM, (PromptPart(PromptPartId("1"), 1),)) == 1

    def test_parts_of_an_unloaded_model_are_dropped(self):
        """An engine drops what it keeps of a model that it unloads."""
        kept = KeptPrompts()
        kept.add(ITEM, (SHARED,), ROOMY)
        kept.retain_models({ModelId("n")})
        assert kept.kept_tokens(ITEM, (SHARED,)) == 0
