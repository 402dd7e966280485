//! Labels and selectors as a state machine: what operators intend, by revision.
