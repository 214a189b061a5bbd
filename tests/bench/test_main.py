"""The command of the bench where its libraries are not installed."""

from __future__ import annotations

import pytest

from bench import __main__ as command


class TestLibraries:
    def test_what_is_missing_is_named_with_what_to_do(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(command, "LIBRARIES", ("no_such_library",))
        with pytest.raises(SystemExit) as ended:
            command.main()
        assert "no_such_library" in str(ended.value)
        assert "pip install" in str(ended.value)
