//! Compatibility of records on disk and messages on the wire with released programs.
//!
//! The files under `tests/fixtures/` were written by the release before the packages were renamed. Each test builds the
//! same value with the current types and compares it byte for byte, then decodes the fixture and encodes it again. A
//! deliberate change of a format gets a new version and fixtures of its own; the old fixtures stay.
//! `WRITE_FIXTURES=1` writes a fixture that is missing and never replaces one.

mod fixture;
mod messages;
mod process;
mod records;
mod values;
