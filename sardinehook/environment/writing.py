"""Serialize documents as YAML for display and editing."""

from __future__ import annotations

import yaml
from yaml.nodes import MappingNode, Node

from sardinehook.environment.canonical import Plain, plain
from sardinehook.environment.document import EnvironmentDocument

__all__ = ["document_text"]

MAX_LINE_CHARACTERS = 100
REPLICA_KEYS = {"name", "data_centre", "address"}


class DocumentDumper(yaml.SafeDumper):
    """YAML dumper that writes replicas and lists of names in flow style."""

    def ignore_aliases(self, data: object) -> bool:
        """Disable anchors and aliases, which ``read_yaml`` rejects."""
        return True


def represent_mapping(dumper: yaml.SafeDumper, data: dict[str, Plain]) -> MappingNode:
    """Represent a replica in flow style and any other mapping in block style."""
    flow = data.keys() <= REPLICA_KEYS
    return dumper.represent_mapping("tag:yaml.org,2002:map", data, flow_style=flow)


def represent_sequence(dumper: yaml.SafeDumper, data: list[Plain]) -> Node:
    """Represent a list of names in flow style."""
    flow = all(isinstance(item, str) for item in data)
    return dumper.represent_sequence("tag:yaml.org,2002:seq", data, flow_style=flow)


DocumentDumper.add_representer(dict, represent_mapping)
DocumentDumper.add_representer(list, represent_sequence)


def document_text(document: EnvironmentDocument) -> str:
    """Serialize a document as YAML without default values; loading it restores it."""
    text: str = yaml.dump(
        plain(document),
        Dumper=DocumentDumper,
        sort_keys=False,
        width=MAX_LINE_CHARACTERS,
        allow_unicode=True,
    )
    return text
