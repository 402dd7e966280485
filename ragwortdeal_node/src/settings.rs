//! Settings of the programs, read from one TOML file each and checked as a whole.
//!
//! Every complaint names file, line and key, and all complaints are reported at once, so that an
//! operator mends a file in one go. `docs/operators/settings.md` lists the fields.

pub mod agent;
pub mod common;
pub mod entry;
pub mod fleet;
pub mod voter;

use std::{fmt, fs, path};

use snafu::Snafu;

/// Most complaints gathered from one file.
const COMPLAINTS_MAX: usize = 64;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaint {
    /// Line in the file, counted from 1, where it is known.
    pub line: Option<usize>,
    /// Key, with its sections.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

/// Everything that is wrong with a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file holds wrong, unknown or missing fields.
    #[snafu(display("{}", Listing { file, complaints }))]
    Wrong {
        /// The file.
        file: path::PathBuf,
        /// All complaints, in the order of their lines.
        complaints: Vec<Complaint>,
    },
}

struct Listing<'e> {
    file: &'e path::Path,
    complaints: &'e [Complaint],
}

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Complaint { line, key, message }) in self.complaints.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            let file = self.file.display();
            match line {
                Some(line) => write!(f, "{file}:{line}: {key}: {message}")?,
                None => write!(f, "{file}: {key}: {message}")?,
            }
        }
        Ok(())
    }
}

/// Settings of one program.
pub trait Settings: serde::de::DeserializeOwned {
    /// Finds what the types alone cannot tell, as pairs of a key and what is wrong with it.
    fn check(&self) -> Vec<(String, String)>;

    /// What the program logs.
    fn log_level(&self) -> &str;
}

/// Reads and checks a settings file.
pub fn load<S: Settings>(file: &path::Path) -> Result<S, SettingsError> {
    let text = fs::read_to_string(file)
        .map_err(|source| SettingsError::Unreadable { file: file.to_owned(), source })?;
    parse(&text).map_err(|complaints| SettingsError::Wrong { file: file.to_owned(), complaints })
}

/// Checks the text of a settings file.
pub fn parse<S: Settings>(text: &str) -> Result<S, Vec<Complaint>> {
    let mut complaints = Vec::new();
    let mut remaining = text.to_owned();
    while complaints.len() < COMPLAINTS_MAX {
        match read::<S>(&remaining) {
            Ok((settings, unknown)) => {
                complaints.extend(unknown.iter().map(|key| unknown_key(text, key)));
                complaints.extend(settings.check().into_iter().map(|(key, message)| Complaint {
                    line: line_of_key(text, &key),
                    key,
                    message,
                }));
                if complaints.is_empty() {
                    return Ok(settings);
                }
                break;
            }
            Err(error) => {
                let line = error.span().map(|span| line_at(&remaining, span.start));
                let key = line.map_or_else(String::new, |line| key_at(&remaining, line));
                let message = error.message().to_owned();
                complaints.push(Complaint { line, key, message });
                // Without the wrong line the rest can be judged too.
                match line.and_then(|line| without_line(&remaining, line)) {
                    Some(rest) => remaining = rest,
                    None => break,
                }
            }
        }
    }
    complaints.sort_by_key(|complaint| complaint.line);
    Err(complaints)
}

fn read<S: Settings>(text: &str) -> Result<(S, Vec<String>), toml::de::Error> {
    let mut unknown = Vec::new();
    let deserializer = toml::Deserializer::parse(text)?;
    let settings = serde_ignored::deserialize(deserializer, |path| unknown.push(path.to_string()))?;
    Ok((settings, unknown))
}

fn unknown_key(text: &str, key: &str) -> Complaint {
    let message = "is not a known setting".to_owned();
    Complaint { line: line_of_key(text, key), key: key.to_owned(), message }
}

fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Replaces a line that sets a value by an empty one. Other lines cannot be left out alone.
fn without_line(text: &str, line: usize) -> Option<String> {
    let mut lines: Vec<&str> = text.lines().collect();
    let wrong = lines.get_mut(line - 1)?;
    if !wrong.contains('=') || wrong.trim_start().starts_with('[') {
        return None;
    }
    *wrong = "";
    Some(lines.join("\n"))
}

/// Pairs each line with the key that it sets, sections included and array indices left out.
fn keys_by_line(text: &str) -> impl Iterator<Item = (usize, String)> + '_ {
    let mut section = String::new();
    text.lines().enumerate().filter_map(move |(index, line)| {
        let line = line.trim();
        if line.starts_with('[') && line.ends_with(']') {
            section = line.trim_matches(['[', ']']).trim().to_owned();
            return Some((index + 1, section.clone()));
        }
        let (key, _) = line.split_once('=').filter(|_| !line.starts_with('#'))?;
        let key = key.trim();
        let dotted = if section.is_empty() { key.to_owned() } else { format!("{section}.{key}") };
        Some((index + 1, dotted))
    })
}

fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let is_index = |part: &&str| !part.bytes().all(|byte| byte.is_ascii_digit());
    let plain = key.split('.').filter(is_index).collect::<Vec<_>>().join(".");
    keys_by_line(text).find(|(_, found)| *found == plain).map(|(line, _)| line)
}

fn key_at(text: &str, line: usize) -> String {
    let found = keys_by_line(text).find(|(number, _)| *number == line);
    found.map_or_else(String::new, |(_, key)| key)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    const GOOD: &str = r#"
[process]
name = "voter-a"
availability_zone = "amman"
region = "jordan"
[credentials]
cluster = "secret-secret-secret"
[voter]
data_dir = "data"
"#;

    fn complaints(text: &str) -> Vec<(Option<usize>, String)> {
        let found = parse::<voter::Settings>(text).err().unwrap_or_default();
        found.into_iter().map(|complaint| (complaint.line, complaint.key)).collect()
    }

    #[googletest::test]
    fn a_good_file_is_accepted() {
        expect_that!(complaints(GOOD), is_empty());
    }

    /// An operator mistypes several fields at once. Told of one at a time, every try costs a
    /// restart, so all of them are reported with their lines.
    #[googletest::test]
    fn all_errors_are_reported_at_once() {
        let text = GOOD
            .replace("region = \"jordan\"", "regoin = \"jordan\"")
            .replace("[credentials]", "[listen]\nlinks = \"nowhere\"\n[credentials]")
            .replace("name = \"voter-a\"", "name = \"voter a\"");
        expect_that!(
            complaints(&text),
            unordered_elements_are![
                eq(&(Some(3), "process.name".to_owned())),
                eq(&(Some(5), "process.regoin".to_owned())),
                eq(&(None, "process.region".to_owned())),
                eq(&(Some(7), "listen.links".to_owned())),
            ]
        );
    }

    #[googletest::test]
    fn a_file_that_is_no_toml_is_refused() {
        expect_that!(complaints("[process\nname = 3"), not(is_empty()));
    }
}
