//! The contents of the configuration register: the configuration in force and the history of committed versions.

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

/// Number of committed versions kept in the history. A retry of any of them is still acknowledged.
const HISTORY_LENGTH: usize = 512;

/// The configuration in force, and the committed versions up to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    /// The version in force; 0 before the first.
    pub version: u32,
    /// The body as the operator sent it. Deflated, because every round, disk and slow link carries it.
    body: Vec<u8>,
    /// Committed versions with the digests of their bodies, oldest first. Invariant: the last entry is `version`.
    history: VecDeque<(u32, Digest)>,
    /// The newest committed version that was evicted from the history; 0 if none was.
    evicted: u32,
}

impl ConfigStore {
    /// Decodes a register's value. A register that was never written decodes to the empty store.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::CorruptState`] if the value cannot be decoded.
    pub fn decode(value: &Value) -> Result<ConfigStore, Error> {
        decode_value(value, "the configuration")
    }

    /// Encodes the store as a register's value.
    pub fn encode(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Whether the history contains the operation's version with the same body.
    pub fn has_committed(&self, operation: &Operation) -> bool {
        let Operation::ReplaceConfig {
            version, digest, ..
        } = operation
        else {
            return false;
        };
        self.history.contains(&(*version, *digest))
    }

    /// Applies an operation. Returns whether it changed the store; a retry of a committed operation does not.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::VersionForgotten`] for a version older than the history, [`ErrorKind::VersionConflict`] if the
    /// version in force is not `base`, [`ErrorKind::Invalid`] if the new version is not above the one in force.
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
            self.evicted = oldest.map_or(self.evicted, |(version, _)| version);
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
        if version <= self.evicted && Safeguard::ForgottenVersions.is_enabled() {
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
    /// [`ErrorKind::CorruptState`] if the stored body does not inflate or does not match its digest.
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

    /// The parsed configuration; `None` before the first one, and if the stored body is corrupt or does not parse.
    pub fn config(&self) -> Option<Config> {
        Config::read(&self.body().ok()?).ok()
    }
}

/// Decodes a register's value. A register that was never written decodes to the default. A value that cannot be decoded
/// is an error and never treated as the default, because the next change would then overwrite it.
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
