//! Keys of callers, operators and hosts, compared in constant time.

use std::collections;
use std::fmt::Write as _;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use crate::ids;

const HASH_HEX_DIGITS: usize = 64;

/// A caller's key as kept in the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HashedKey {
    /// A name that tells the keys of a workspace apart.
    pub name: ids::Name,
    /// The salt: random hexadecimal digits.
    pub salt: String,
    /// The SHA-256 hash of the salt's digits followed by the key, in hexadecimal digits.
    pub sha256: String,
}

impl HashedKey {
    /// Hashes a key with the given salt.
    pub fn new(name: &str, salt: &str, key: &str) -> Self {
        Self {
            name: name.into(),
            salt: salt.to_owned(),
            sha256: hash(salt, key),
        }
    }

    /// Returns whether a presented key is this one.
    pub fn matches(&self, key: &str) -> bool {
        constant_time_eq(&hash(&self.salt, key), &self.sha256)
    }

    /// Returns whether salt and hash are well formed.
    pub fn is_well_formed(&self) -> bool {
        let is_hex = |s: &str| s.bytes().all(|c| c.is_ascii_hexdigit());
        !self.salt.is_empty()
            && is_hex(&self.salt)
            && self.sha256.len() == HASH_HEX_DIGITS
            && is_hex(&self.sha256)
    }
}

/// Compares two secrets in a time that does not depend on where they differ.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Values by key. A lookup takes the same time whichever key comes closest, since only digests are compared, and no
/// key can be read from the index.
#[derive(Clone, Debug)]
pub struct KeyIndex<T>(collections::HashMap<[u8; 32], T>);

impl<T> Default for KeyIndex<T> {
    fn default() -> Self {
        Self(collections::HashMap::new())
    }
}

impl<T> KeyIndex<T> {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&T> {
        self.0.get(&fingerprint(key))
    }

    /// Sets the value of a key. Returns the one it had.
    pub fn insert(&mut self, key: &str, value: T) -> Option<T> {
        self.0.insert(fingerprint(key), value)
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        self.0.remove(&fingerprint(key));
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn fingerprint(key: &str) -> [u8; 32] {
    sha2::Sha256::digest(key.as_bytes()).into()
}

fn hash(salt: &str, key: &str) -> String {
    let mut hasher = sha2::Sha256::new();
    hasher.update(salt.as_bytes());
    hasher.update(key.as_bytes());
    hasher
        .finalize()
        .iter()
        .fold(String::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
