//! Fixtures: files that a released program wrote.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs;
use std::path::PathBuf;

/// Path of the named fixture.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Content of the named fixture.
pub fn load(name: &str) -> Vec<u8> {
    let path = path(name);
    fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Writes a fixture that is missing, if `WRITE_FIXTURES` is set.
fn write_if_missing(name: &str, bytes: &[u8]) {
    let path = path(name);
    if !path.exists() && std::env::var_os("WRITE_FIXTURES").is_some() {
        fs::create_dir_all(path.parent().expect("a fixture is in a folder"))
            .expect("the folder can be created");
        fs::write(&path, bytes).expect("the fixture can be written");
    }
}

/// Asserts that a value encodes to the bytes of its fixture, that the fixture decodes to the value, and that the
/// decoded value encodes to the same bytes again.
pub fn assert_compatible<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    value: &T,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let encoded = encode(value);
    write_if_missing(name, &encoded);
    let released = load(name);
    assert_eq!(
        encoded, released,
        "{name}: the encoding differs from the release"
    );
    let decoded = decode(&released);
    assert_eq!(
        &decoded, value,
        "{name}: the fixture decodes to a different value"
    );
    assert_eq!(
        encode(&decoded),
        released,
        "{name}: the encoding of the decoded value differs from the fixture"
    );
}
