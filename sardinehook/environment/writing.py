"""Write a document as YAML for people to read and edit."""

from __future__ import annotations

import yaml
from yaml.nodes import MappingNode, Node

from sardinehook.environment.canonical import Plain, plain
from sardinehook.environment.document import EnvironmentDocument

__all__ = ["document_text"]

LINE_CHARACTERS = 100
REPLICA_KEYS = {"name", "data_centre", "address"}


class DocumentDumper(yaml.SafeDumper):
    """Writes replicas and lists of names on one line each."""

    def ignore_aliases(self, data: object) -> bool:
        """Never write anchors, which documents may not have."""
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
    """YAML of a document without defaults, which loads to the same document."""
    text: str = yaml.dump(
        plain(document),
        Dumper=DocumentDumper,
        sort_keys=False,
        width=LINE_CHARACTERS,
        allow_unicode=True,
    )
    return text
