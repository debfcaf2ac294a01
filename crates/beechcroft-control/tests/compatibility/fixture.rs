//! Fixtures: bytes that a released program wrote.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs;
use std::path::PathBuf;

/// The path of a fixture.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The bytes of a fixture.
pub fn load(name: &str) -> Vec<u8> {
    let path = path(name);
    fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Writes a fixture that is missing, if `WRITE_FIXTURES` is set.
fn write_if_missing(name: &str, today: &[u8]) {
    let path = path(name);
    if !path.exists() && std::env::var_os("WRITE_FIXTURES").is_some() {
        fs::create_dir_all(path.parent().expect("a fixture has a folder"))
            .expect("the folder can be made");
        fs::write(&path, today).expect("the fixture can be written");
    }
}

/// A value has the bytes of its fixture, and what the fixture holds is the value.
pub fn same<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    value: &T,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let today = encode(value);
    write_if_missing(name, &today);
    let released = load(name);
    assert_eq!(
        today, released,
        "{name}: written otherwise than the released program does"
    );
    let read = decode(&released);
    assert_eq!(&read, value, "{name}: read otherwise than it was written");
    assert_eq!(
        encode(&read),
        released,
        "{name}: not the same after a read and a write"
    );
}
