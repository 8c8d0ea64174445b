//! Parses INI files into sections with file and line numbers.

pub mod section_reader;

use std::fmt;

use ::ini::{Ini, ParseOption};

/// A line of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file name as the operator gave it.
    pub file: Box<str>,
    /// The line number, from 1; 0 if the line is unknown.
    pub line: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// An error in a file, with an optional hint how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    pub location: Location,
    pub reason: Box<str>,
    /// A suggestion how to fix it.
    pub hint: Option<Box<str>>,
}

impl ConfigError {
    pub fn new(location: &Location, reason: impl Into<Box<str>>) -> Self {
        Self { location: location.clone(), reason: reason.into(), hint: None }
    }

    #[must_use]
    pub fn with_hint(mut self, hint: impl Into<Box<str>>) -> Self {
        self.hint = Some(hint.into());
        self
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.reason)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}

/// The name and text of a file.
#[derive(Clone, Debug)]
pub struct Source {
    /// The file name as the operator gave it.
    pub file: Box<str>,
    pub text: Box<str>,
}

/// One `key = value` line.
#[derive(Clone, Debug)]
pub struct Property {
    pub key: Box<str>,
    pub value: Box<str>,
    pub location: Location,
}

/// A section with its properties in file order.
#[derive(Clone, Debug)]
pub struct Section {
    /// The text between the brackets.
    pub title: Box<str>,
    /// The line of the title.
    pub location: Location,
    pub properties: Vec<Property>,
}

/// Parses the sections of a file, in order.
pub fn read(source: &Source) -> Result<Vec<Section>, ConfigError> {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = Ini::load_from_str_opt(&source.text, option).map_err(|error| {
        let location = Location { file: source.file.clone(), line: error.line };
        ConfigError::new(&location, error.msg.to_string())
    })?;
    let mut lines = entry_lines(&source.text).into_iter();
    let mut location =
        || Location { file: source.file.clone(), line: lines.next().unwrap_or_default() };
    let mut sections = Vec::new();
    for (title, properties) in &parsed {
        if title.is_none() && properties.is_empty() {
            continue;
        }
        let title_location = match title {
            Some(_) => location(),
            None => Location { file: source.file.clone(), line: 1 },
        };
        let properties = properties
            .iter()
            .map(|(key, value)| Property {
                key: key.into(),
                value: value.into(),
                location: location(),
            })
            .collect();
        sections.push(Section {
            title: title.unwrap_or("").into(),
            location: title_location,
            properties,
        });
    }
    Ok(sections)
}

/// Returns the line numbers of titles and properties, in file order.
fn entry_lines(text: &str) -> Vec<usize> {
    let is_entry = |line: &str| {
        let line = line.trim_start();
        line.starts_with('[') || (!line.starts_with([';', '#']) && line.contains(['=', ':']))
    };
    let numbered = text.lines().enumerate();
    numbered.filter(|(_, line)| is_entry(line)).map(|(index, _)| index + 1).collect()
}
