//! Identity of a request across the attempts of its caller.
//!
//! Each attempt has an identifier of its own and comes at any entry. What stays the same is what the
//! request asks for, so its fingerprint covers that and nothing that differs between attempts: not
//! the identifier, not the time left, not the last event that the caller has.

use crate::dispatch::prompt;

/// Domain of the keys, so that the secret serves no other purpose with the same bytes.
const KEY_CONTEXT: &str = "ragwortdeal fingerprints of requests";

/// What the names of fingerprints begin with, among the names of parts of prompts.
pub const NAME_PREFIX: &str = "request-";

/// Bytes of a fingerprint.
const FINGERPRINT_BYTES: usize = 8;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Identity<'r> {
    /// Method.
    pub method: &'r str,
    /// Host.
    pub host: &'r str,
    /// Path and query.
    pub path: &'r str,
    /// Account that calls, empty if none.
    pub account: &'r str,
    /// All parts of the prompt as they were sent, empty if none.
    pub prompt: &'r [u8],
    /// Body.
    pub body: &'r [u8],
}

/// Key of the fingerprints. All processes of a deployment derive the same one; others cannot tell
/// from a fingerprint what was asked.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key from the shared secret.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// The fingerprint of a request, named so that it can be isolated like a part of a prompt.
    pub fn fingerprint(&self, identity: &Identity<'_>) -> prompt::Part {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let Identity { method, host, path, account, prompt, body } = *identity;
        let texts = [method, host, path, account].map(str::as_bytes);
        for field in texts.into_iter().chain([prompt, body]) {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        prompt::Part::new(&format!("{NAME_PREFIX}{:016x}", u64::from_be_bytes(bytes)))
    }
}

/// Whether a name is that of a fingerprint.
pub fn is_fingerprint(name: &str) -> bool {
    name.starts_with(NAME_PREFIX)
}
