"""Deterministic answers of stand-in engines, computed from the prompt."""

from __future__ import annotations

import random
from functools import cache

import xxhash

SYLLABLES = ('ba', 'ko', 'ri', 'tu', 'ne', 'lo', 'sa', 'mi', 'da', 'gu')
DEFAULT_LENGTH = 16
WORD_STEP = 7919
WORD_COUNT = 1009


def make_token(model: str, prompt: str, index: int) -> str:
    """Make one token of an answer.

    :param model: name of the model.
    :param prompt: complete prompt.
    :param index: position in the answer.
    :returns: a short word, preceded by a blank except for the first.
    """
    word = _pick_word(_hash_prompt(model, prompt), index)
    return word if index == 0 else f' {word}'


def make_answer(model: str, prompt: str, length: int) -> str:
    """Make a complete answer.

    :param model: name of the model.
    :param prompt: complete prompt.
    :param length: number of tokens.
    :returns: the text.
    """
    return ''.join(make_token(model, prompt, index) for index in range(length))


@cache
def _hash_word(number: int) -> str:
    rng = random.Random(number)
    return ''.join(rng.choices(SYLLABLES, k=2))


def _pick_word(seed: int, index: int) -> str:
    return _hash_word((seed + index * WORD_STEP) % WORD_COUNT)


def _hash_prompt(model: str, prompt: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{model}\0{prompt}'.encode())
