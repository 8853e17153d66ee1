"""acaciaramp schedules agent programs over a fleet of endpoints."""

from __future__ import annotations

__version__ = '0.1.0'
