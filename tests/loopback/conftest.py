"""Runs tests that are coroutine functions in an event loop in real time."""

from __future__ import annotations

import asyncio
import inspect

import pytest


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine function in a new event loop; leave other tests to pytest."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    asyncio.run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}))
    return True
