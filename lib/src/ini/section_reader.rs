//! Reads the properties of a section one by one and collects the errors in them.

use std::{fmt, str::FromStr, time::Duration};

use crate::{
    ini::{ConfigError, Property, Section},
    units::parse_duration,
};

/// Reads the properties of one section one by one; a property that is not read is an error.
pub struct SectionReader<'a> {
    section: &'a Section,
    read_keys: Vec<Box<str>>,
    errors: &'a mut Vec<ConfigError>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of a section that appends its errors to `errors`.
    pub fn new(section: &'a Section, errors: &'a mut Vec<ConfigError>) -> Self {
        Self { section, read_keys: Vec::new(), errors }
    }

    /// Reads a property without parsing its value; a repeated key is an error.
    pub fn property(&mut self, key: &str) -> Option<&'a Property> {
        self.read_keys.push(key.into());
        let mut matching = self.section.properties.iter().filter(|property| *property.key == *key);
        let first = matching.next()?;
        for repeated in matching {
            self.errors.push(ConfigError::new(&repeated.location, format!("{key} is set twice")));
        }
        Some(first)
    }

    fn parse<T>(
        &mut self,
        property: &Property,
        parse_value: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        match parse_value(&property.value) {
            Ok(value) => Some(value),
            Err(error) => {
                let reason = format!("{}: {error}", property.key);
                self.errors.push(ConfigError::new(&property.location, reason));
                None
            }
        }
    }

    /// Reads and parses an optional property.
    pub fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let property = self.property(key)?;
        self.parse(property, |text| text.parse().map_err(|error: T::Err| error.to_string()))
    }

    /// Reads and parses a required property; its absence is an error.
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

    /// Reads an optional duration, such as `250ms`.
    pub fn duration(&mut self, key: &str) -> Option<Duration> {
        let property = self.property(key)?;
        self.parse(property, |text| parse_duration(text).map_err(|error| error.to_string()))
    }

    /// Reads 32 required bytes in hexadecimal.
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

    /// Parses a name that is part of the section title; an invalid name is an error of the section.
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

    /// Adds an error located at the section's title.
    pub fn add_error(&mut self, reason: impl Into<Box<str>>) {
        self.errors.push(ConfigError::new(&self.section.location, reason));
    }

    /// Adds an error for each property that was not read.
    pub fn finish(self) {
        for property in &self.section.properties {
            if !self.read_keys.contains(&property.key) {
                let reason = format!("{} is no property of [{}]", property.key, self.section.title);
                self.errors.push(ConfigError::new(&property.location, reason));
            }
        }
    }
}
