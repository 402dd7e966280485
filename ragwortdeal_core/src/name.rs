//! Names as shared immutable strings, with one type for each kind of named object.

use std::{borrow, fmt, ops, sync};

use snafu::Snafu;

/// Maximum length of a name. Names are part of every announcement, so this bounds its size.
pub const NAME_MAX_BYTES: usize = 128;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("a name must not be empty"))]
    Empty,
    /// The text is longer than [`NAME_MAX_BYTES`].
    #[snafu(display("a name has at most {NAME_MAX_BYTES} bytes, this one has {len_bytes}"))]
    TooLong {
        /// Length of the refused text in bytes.
        len_bytes: usize,
    },
    /// The text contains a character that labels or URLs cannot contain unquoted.
    #[snafu(display("the character {found:?} is not allowed in a name"))]
    BadCharacter {
        /// First invalid character.
        found: char,
    },
}

/// Checks that a text is a valid name: not empty, not longer than [`NAME_MAX_BYTES`], and made of
/// ASCII letters, digits and `-_.:`.
pub fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong { len_bytes: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! shared_names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Creates a name from a text that satisfies [`check`].
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(sync::Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ops::Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

shared_names! {
    /// Name of an instance: a machine with one upstream or one process of the system.
    InstanceName,
    /// Name of an availability zone.
    ZoneName,
    /// Name of a region.
    RegionName,
    /// Name of a client account, on whose behalf calls are made.
    AccountName,
    /// Name of a model.
    ModelName,
    /// Name of an adapter of a model.
    AdapterName,
    /// Name of a plain service.
    ServiceName,
    /// Name of a selector.
    SelectorName,
    /// Identifier that an operator gives a change, which makes retries of it idempotent.
    ChangeId,
    /// Identifier of one caller's request across all hops.
    RequestId,
    /// Idempotency key of an operation that must not run twice.
    OperationKey,
    /// Key of a label.
    LabelKey,
    /// Value of a label.
    LabelValue,
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    macro_rules! refused {
        ($($case:ident: $text:expr => $error:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                expect_that!(check($text), err(eq(&$error)));
            }
        )*};
    }

    refused! {
        empty_text: "" => NameError::Empty,
        a_space: "a b" => NameError::BadCharacter { found: ' ' },
        a_slash: "a/b" => NameError::BadCharacter { found: '/' },
        too_long: &"x".repeat(129) => NameError::TooLong { len_bytes: 129 },
    }
}
