//! The contents of the configuration register.

use crate::operation::{digest, Digest, Operation};
use crate::{encoding, Value};
use beechcroft_config::Config;
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use flate2::read::DeflateDecoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io::Read;

/// How many former versions are remembered, so that a repeat of them is still acknowledged.
const HISTORY_LENGTH: usize = 512;

/// The configuration in force, and the versions committed before it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    /// The version in force; 0 before the first.
    pub version: u32,
    /// The body as the operator sent it, deflated: it passes through ballots, disks and thin links.
    body: Vec<u8>,
    /// Committed versions with the digests of their bodies, oldest first. Invariant: the last one is `version`.
    history: VecDeque<(u32, Digest)>,
    /// The newest committed version that the history no longer holds.
    forgotten: u32,
}

impl ConfigStore {
    /// Decodes a register's value. One that was never written is the empty store.
    pub fn decode(value: &Value) -> Result<ConfigStore, Error> {
        decode_value(value, "the configuration")
    }

    /// Encodes the store as a register's value.
    pub fn encode(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Whether this very configuration was committed, as far as the history goes back.
    pub fn has_committed(&self, operation: &Operation) -> bool {
        let Operation::ReplaceConfig {
            version, digest, ..
        } = operation
        else {
            return false;
        };
        self.history.contains(&(*version, *digest))
    }

    /// Applies an operation: whether it changed the store, or why it is rejected.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::VersionForgotten`] for a version from before the history, [`ErrorKind::VersionConflict`] if
    /// another version than `base` is in place, [`ErrorKind::Invalid`] if the version is not above that one.
    pub fn apply(&mut self, operation: &Operation) -> Result<bool, Error> {
        let Operation::ReplaceConfig {
            version,
            base,
            digest,
            body,
        } = operation
        else {
            return Ok(false);
        };
        if self.is_repeat(*version, digest) {
            return Ok(false);
        }
        self.check_version(*version, *base)?;
        if self.history.len() >= HISTORY_LENGTH {
            let oldest = self.history.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |(version, _)| version);
        }
        self.history.push_back((*version, *digest));
        self.version = *version;
        self.body.clone_from(body);
        Ok(true)
    }

    fn is_repeat(&self, version: u32, digest: &Digest) -> bool {
        self.history.iter().any(|(committed, body)| {
            *committed == version && (body == digest || !Safeguard::RepeatHasSameBody.is_enabled())
        })
    }

    fn check_version(&self, version: u32, base: u32) -> Result<(), Error> {
        if version <= self.forgotten && Safeguard::ForgottenVersions.is_enabled() {
            let detail = format!("version {version:08x} is from before what is still remembered");
            return Err(Error::new(ErrorKind::VersionForgotten, detail));
        }
        if base != self.version {
            let detail = format!(
                "version {:08x} is in place, the base is {base:08x}",
                self.version
            );
            return Err(Error::new(ErrorKind::VersionConflict, detail));
        }
        if version <= self.version {
            let detail = format!("version {version:08x} is not above {:08x}", self.version);
            return Err(Error::new(ErrorKind::Invalid, detail));
        }
        Ok(())
    }

    /// The configuration as the operator sent it; empty before the first.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::CorruptState`] if it does not inflate to what was sent.
    pub fn body(&self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        let Some((version, sent)) = self.history.back() else {
            return Ok(body);
        };
        let is_complete = DeflateDecoder::new(&self.body[..])
            .read_to_end(&mut body)
            .is_ok();
        if !is_complete || (*version, *sent) != (self.version, digest(&body)) {
            let detail = format!("version {:08x} is not what was sent", self.version);
            return Err(Error::new(ErrorKind::CorruptState, detail));
        }
        Ok(body)
    }

    /// The parsed configuration; `None` before the first.
    pub fn config(&self) -> Option<Config> {
        Config::read(&self.body().ok()?).ok()
    }
}

/// Decodes a register's value. One that was never written is the default; one that cannot be decoded is an error and
/// never taken for the default, as the next change would replace what is there.
pub(crate) fn decode_value<T: Default + DeserializeOwned>(
    value: &Value,
    what: &str,
) -> Result<T, Error> {
    if value.is_initial() {
        return Ok(T::default());
    }
    match encoding::decode(&value.bytes) {
        Ok(decoded) => Ok(decoded),
        Err(_) if !Safeguard::UndecodableValues.is_enabled() => Ok(T::default()),
        Err(e) => {
            let length = value.bytes.len();
            let detail = format!("{what} at revision {}, {length} bytes: {e}", value.revision);
            Err(Error::new(ErrorKind::CorruptState, detail))
        }
    }
}
