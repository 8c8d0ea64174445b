//! Takes the properties of a section one by one and collects what is wrong with them.

use std::{fmt, str::FromStr, time::Duration};

use crate::{
    ini::{ConfigError, Property, Section},
    units::parse_duration,
};

/// The properties of one section, taken one by one; what is left over is a fault.
pub struct SectionReader<'a> {
    section: &'a Section,
    taken: Vec<Box<str>>,
    errors: &'a mut Vec<ConfigError>,
}

impl<'a> SectionReader<'a> {
    /// Begins to take the properties of a section; faults are added to `errors`.
    pub fn new(section: &'a Section, errors: &'a mut Vec<ConfigError>) -> Self {
        Self { section, taken: Vec::new(), errors }
    }

    /// Takes a property as it stands.
    pub fn property(&mut self, key: &str) -> Option<&'a Property> {
        self.taken.push(key.into());
        let mut found = self.section.properties.iter().filter(|property| *property.key == *key);
        let first = found.next()?;
        for repeated in found {
            self.errors.push(ConfigError::new(&repeated.location, format!("{key} is set twice")));
        }
        Some(first)
    }

    fn parse<T>(
        &mut self,
        property: &Property,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        match read(&property.value) {
            Ok(value) => Some(value),
            Err(error) => {
                let reason = format!("{}: {error}", property.key);
                self.errors.push(ConfigError::new(&property.location, reason));
                None
            }
        }
    }

    /// Takes a property that may be left out.
    pub fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let property = self.property(key)?;
        self.parse(property, |text| text.parse().map_err(|error: T::Err| error.to_string()))
    }

    /// Takes a property that must be there.
    pub fn required<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        if self.section.properties.iter().all(|property| *property.key != *key) {
            let reason = format!("[{}] lacks {key}", self.section.title);
            self.errors.push(ConfigError::new(&self.section.location, reason));
        }
        self.optional(key)
    }

    /// Takes a duration that may be left out.
    pub fn duration(&mut self, key: &str) -> Option<Duration> {
        let property = self.property(key)?;
        self.parse(property, |text| parse_duration(text).map_err(|error| error.to_string()))
    }

    /// Takes 32 bytes in hexadecimal that must be there.
    pub fn digest(&mut self, key: &str) -> Option<[u8; 32]> {
        let text: Box<str> = self.required::<String>(key)?.into();
        let mut digest = [0; 32];
        if hex::decode_to_slice(&*text, &mut digest).is_err() {
            let reason = format!("{key}: not 64 hexadecimal digits");
            self.errors.push(ConfigError::new(&self.section.location, reason));
            return None;
        }
        Some(digest)
    }

    /// Reads a name that is part of the section's title.
    pub fn name<T>(&mut self, text: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        match text.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.errors.push(ConfigError::new(&self.section.location, error.to_string()));
                None
            }
        }
    }

    /// Adds a fault of the whole section.
    pub fn add_error(&mut self, reason: impl Into<Box<str>>) {
        self.errors.push(ConfigError::new(&self.section.location, reason));
    }

    /// Adds a fault for each property that was not taken.
    pub fn finish(self) {
        for property in &self.section.properties {
            if !self.taken.contains(&property.key) {
                let reason = format!("{} is no property of [{}]", property.key, self.section.title);
                self.errors.push(ConfigError::new(&property.location, reason));
            }
        }
    }
}
