"""The benchmark command without its required libraries."""

from __future__ import annotations

import pytest

from bench import __main__ as command


class TestMissingLibraries:
    def test_error_names_the_missing_library_and_the_install_command(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(command, "LIBRARIES", ("no_such_library",))
        with pytest.raises(SystemExit) as ended:
            command.main()
        assert "no_such_library" in str(ended.value)
        assert "pip install" in str(ended.value)
