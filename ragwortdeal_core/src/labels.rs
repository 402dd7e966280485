//! Labels and the selectors over them.
//!
//! Selectors support equality, set membership and existence, as label selectors commonly do. As
//! usual, `!=` and `notin` also match objects without the key.

use std::{collections, fmt, str};

use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::name;

/// Requirements in one selector at most, so that evaluating it has a bounded cost.
pub const REQUIREMENTS_MAX: usize = 32;

/// Labels on one object at most.
pub const LABELS_MAX: usize = 64;

/// Labels of an instance, a model, a service or an account.
pub type Labels = collections::BTreeMap<name::LabelKey, name::LabelValue>;

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Requirement {
    /// The label has this value.
    Equals(name::LabelKey, name::LabelValue),
    /// The label is absent or has another value.
    NotEquals(name::LabelKey, name::LabelValue),
    /// The label has one of these values.
    In(name::LabelKey, collections::BTreeSet<name::LabelValue>),
    /// The label is absent or has none of these values.
    NotIn(name::LabelKey, collections::BTreeSet<name::LabelValue>),
    /// The label is present.
    Exists(name::LabelKey),
    /// The label is absent.
    Absent(name::LabelKey),
}

impl Requirement {
    /// Whether the labels meet this condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Requirement::Equals(key, value) => labels.get(key) == Some(value),
            Requirement::NotEquals(key, value) => labels.get(key) != Some(value),
            Requirement::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Requirement::NotIn(key, values) => labels.get(key).is_none_or(|v| !values.contains(v)),
            Requirement::Exists(key) => labels.contains_key(key),
            Requirement::Absent(key) => !labels.contains_key(key),
        }
    }
}

/// A conjunction of requirements. The empty selector matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    requirements: Vec<Requirement>,
}

/// Why a text is not a valid selector.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SelectorError {
    /// A key or value is not a valid name.
    #[snafu(display("in the requirement {requirement:?}: {source}"))]
    BadName {
        /// The requirement as written.
        requirement: String,
        /// What is wrong with the name.
        source: name::NameError,
    },
    /// A set of values is not in parentheses.
    #[snafu(display("the requirement {requirement:?} needs its values in parentheses"))]
    NoParentheses {
        /// The requirement as written.
        requirement: String,
    },
    /// There are more requirements than [`REQUIREMENTS_MAX`].
    #[snafu(display("a selector has at most {REQUIREMENTS_MAX} requirements"))]
    TooMany,
}

impl Selector {
    /// Builds a selector that matches where all requirements do.
    pub fn new(requirements: Vec<Requirement>) -> Result<Self, SelectorError> {
        if requirements.len() > REQUIREMENTS_MAX {
            return Err(SelectorError::TooMany);
        }
        Ok(Self { requirements })
    }

    /// Whether the labels meet every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|requirement| requirement.matches(labels))
    }

    /// The requirements in the order in which they were written.
    pub fn requirements(&self) -> &[Requirement] {
        &self.requirements
    }
}

impl str::FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        let parts = split_requirements(text);
        let requirements = parts.into_iter().map(parse_requirement).collect::<Result<_, _>>()?;
        Self::new(requirements)
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self, SelectorError> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{requirement}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requirement::Equals(key, value) => write!(f, "{key}={value}"),
            Requirement::NotEquals(key, value) => write!(f, "{key}!={value}"),
            Requirement::In(key, values) => write!(f, "{key} in ({})", joined(values)),
            Requirement::NotIn(key, values) => write!(f, "{key} notin ({})", joined(values)),
            Requirement::Exists(key) => write!(f, "{key}"),
            Requirement::Absent(key) => write!(f, "!{key}"),
        }
    }
}

fn joined(values: &collections::BTreeSet<name::LabelValue>) -> String {
    values.iter().map(name::LabelValue::as_str).collect::<Vec<_>>().join(",")
}

/// Splits at commas outside of parentheses.
fn split_requirements(text: &str) -> Vec<&str> {
    let mut depth = 0usize;
    let parts = text.split(|c: char| {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => (),
        }
        c == ',' && depth == 0
    });
    parts.map(str::trim).filter(|part| !part.is_empty()).collect()
}

fn parse_requirement(text: &str) -> Result<Requirement, SelectorError> {
    if let Some((key, value)) = text.split_once("!=") {
        return Ok(Requirement::NotEquals(named(text, key)?, named(text, value)?));
    }
    if let Some((key, value)) = text.split_once('=') {
        let value = value.strip_prefix('=').unwrap_or(value);
        return Ok(Requirement::Equals(named(text, key)?, named(text, value)?));
    }
    if let Some((key, values)) = text.split_once(" notin ") {
        return Ok(Requirement::NotIn(named(text, key)?, parse_values(text, values)?));
    }
    if let Some((key, values)) = text.split_once(" in ") {
        return Ok(Requirement::In(named(text, key)?, parse_values(text, values)?));
    }
    match text.strip_prefix('!') {
        Some(key) => Ok(Requirement::Absent(named(text, key)?)),
        None => Ok(Requirement::Exists(named(text, text)?)),
    }
}

fn parse_values(
    requirement: &str,
    values: &str,
) -> Result<collections::BTreeSet<name::LabelValue>, SelectorError> {
    let inner = values.trim().strip_prefix('(').and_then(|rest| rest.strip_suffix(')'));
    let inner = inner.context(NoParenthesesSnafu { requirement })?;
    inner.split(',').map(|value| named(requirement, value)).collect()
}

fn named<'t, N>(requirement: &str, text: &'t str) -> Result<N, SelectorError>
where
    N: TryFrom<&'t str, Error = name::NameError>,
{
    N::try_from(text.trim()).context(BadNameSnafu { requirement })
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn labels(pairs: &[(&str, &str)]) -> Labels {
        let pair = |(key, value): &(&str, &str)| {
            (name::LabelKey::new(key).unwrap(), name::LabelValue::new(value).unwrap())
        };
        pairs.iter().map(pair).collect()
    }

    macro_rules! selects {
        ($($case:ident: $selector:expr, $labels:expr => $expected:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                let selector: Selector = $selector.parse().unwrap();
                expect_that!(selector.matches(&labels($labels)), eq($expected));
                expect_that!(selector.to_string().parse::<Selector>(), ok(eq(&selector)));
            }
        )*};
    }

    selects! {
        the_empty_selector_matches_all: "", &[("a", "1")] => true,
        equality_matches: "a=1", &[("a", "1")] => true,
        double_equality_is_equality: "a==1", &[("a", "1")] => true,
        equality_needs_the_key: "a=1", &[] => false,
        inequality_matches_an_absent_key: "a!=1", &[] => true,
        a_set_matches_one_of_its_values: "a in (1, 2),b", &[("a", "2"), ("b", "x")] => true,
        a_set_needs_the_key: "a in (1,2)", &[] => false,
        an_excluding_set_matches_an_absent_key: "a notin (1,2)", &[] => true,
        existence_needs_the_key: "a", &[("b", "1")] => false,
        absence_refuses_the_key: "!a", &[("a", "1")] => false,
        all_requirements_must_hold: "a=1,b=2", &[("a", "1"), ("b", "3")] => false,
    }

    macro_rules! refused {
        ($($case:ident: $text:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                expect_that!($text.parse::<Selector>(), err(anything()));
            }
        )*};
    }

    refused! {
        a_set_without_parentheses: "a in 1",
        a_value_with_a_space: "a=b c",
        an_empty_key: "=1",
        an_open_parenthesis: "a in (1",
    }
}
