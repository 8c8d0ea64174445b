//! Reads INI files into sections that remember their file and line.

pub mod fields;

use std::fmt;

use ::ini::{Ini, ParseOption};

/// A place in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file's name as the operator gave it.
    pub file: Box<str>,
    /// The line, from 1.
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// Something wrong in a file, with a hint for mending it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub reason: Box<str>,
    /// What may mend it.
    pub hint: Option<Box<str>>,
}

impl Fault {
    /// Makes a fault without a hint.
    pub fn new(place: &Place, reason: impl Into<Box<str>>) -> Self {
        Self { place: place.clone(), reason: reason.into(), hint: None }
    }

    /// Adds a hint.
    #[must_use]
    pub fn with_hint(mut self, hint: impl Into<Box<str>>) -> Self {
        self.hint = Some(hint.into());
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}

/// A file as it was read.
#[derive(Clone, Debug)]
pub struct Source {
    /// The file's name as the operator gave it.
    pub file: Box<str>,
    /// The file's text.
    pub text: Box<str>,
}

/// One `key = value` line.
#[derive(Clone, Debug)]
pub struct Property {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Box<str>,
    /// Where it stands.
    pub place: Place,
}

/// A section with its properties in order.
#[derive(Clone, Debug)]
pub struct Section {
    /// The text between the brackets.
    pub title: Box<str>,
    /// Where its title stands.
    pub place: Place,
    /// Its properties.
    pub properties: Vec<Property>,
}

/// Reads the sections of a file in order.
pub fn read(source: &Source) -> Result<Vec<Section>, Fault> {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = Ini::load_from_str_opt(&source.text, option).map_err(|error| {
        let place = Place { file: source.file.clone(), line: error.line };
        Fault::new(&place, error.msg.to_string())
    })?;
    let mut lines = lines_of_entries(&source.text).into_iter();
    let mut place = || Place { file: source.file.clone(), line: lines.next().unwrap_or_default() };
    let mut sections = Vec::new();
    for (title, properties) in &parsed {
        if title.is_none() && properties.is_empty() {
            continue;
        }
        let title_place = match title {
            Some(_) => place(),
            None => Place { file: source.file.clone(), line: 1 },
        };
        let properties = properties
            .iter()
            .map(|(key, value)| Property { key: key.into(), value: value.into(), place: place() })
            .collect();
        sections.push(Section {
            title: title.unwrap_or("").into(),
            place: title_place,
            properties,
        });
    }
    Ok(sections)
}

/// Returns the line numbers of the titles and properties, in the order of the file.
fn lines_of_entries(text: &str) -> Vec<usize> {
    let is_entry = |line: &str| {
        let line = line.trim_start();
        line.starts_with('[') || (!line.starts_with([';', '#']) && line.contains(['=', ':']))
    };
    let numbered = text.lines().enumerate();
    numbered.filter(|(_, line)| is_entry(line)).map(|(index, _)| index + 1).collect()
}
