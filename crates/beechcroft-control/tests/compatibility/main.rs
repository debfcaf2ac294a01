//! What is on disk and on the wire stays as released programs write it.
//!
//! The files under `tests/fixtures/` were written by the release before the packages were renamed. Each test builds the
//! same value with today's types and compares byte for byte, then decodes the old bytes and encodes them again. A
//! change of format is a decision of its own: it comes with a new version and fixtures of its own, and the old ones stay.
//! `WRITE_FIXTURES=1` writes a fixture that is missing and never replaces one.

mod fixture;
mod messages;
mod process;
mod records;
mod values;
