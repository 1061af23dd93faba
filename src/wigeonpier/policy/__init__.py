"""Pure decisions: state and event in, decision out."""
