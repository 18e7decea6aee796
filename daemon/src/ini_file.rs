//! Reads settings from INI files. Faults name the file, section and key, and the offending value.

use std::collections;
use std::fmt;
use std::fs;
use std::path;
use std::str;

use walnuthaven_lib::ids;

/// A fault in a settings file. `section` and `key` are empty if the fault concerns no single one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    pub(crate) file: String,
    pub(crate) section: String,
    pub(crate) key: String,
    pub(crate) message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            section,
            key,
            message,
        } = self;
        match key.is_empty() {
            true => write!(f, "{file}: section [{section}]: {message}"),
            false => write!(f, "{file}: section [{section}], key {key:?}: {message}"),
        }
    }
}

impl std::error::Error for Fault {}

impl Fault {
    /// Creates a fault that concerns the whole file.
    pub(crate) fn of_file(file: &str, message: String) -> Self {
        Self {
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            message,
        }
    }
}

/// The sections and keys that a file may contain.
#[derive(Clone, Copy)]
pub(crate) struct KnownKeys {
    /// Sections with fixed names, and their keys.
    pub(crate) sections: &'static [(&'static str, &'static [&'static str])],
    /// Prefix of the names of further sections, and the keys of these sections.
    pub(crate) prefixed: Option<(&'static str, &'static [&'static str])>,
}

impl KnownKeys {
    fn keys_of(&self, section: &str) -> Option<&'static [&'static str]> {
        if let Some((prefix, keys)) = self.prefixed
            && section.starts_with(prefix)
        {
            return Some(keys);
        }
        let known = self.sections.iter().find(|(name, _)| *name == section);
        known.map(|(_, keys)| *keys)
    }
}

/// The values of an INI file.
pub(crate) struct IniFile {
    file: String,
    values: collections::BTreeMap<String, collections::BTreeMap<String, String>>,
}

impl IniFile {
    /// Parses the text of a file. `file` is the file name that faults mention. Unknown or repeated
    /// sections and keys are faults.
    pub(crate) fn parse(file: &str, text: &str, known: KnownKeys) -> Result<Self, Fault> {
        let mut ini_file = Self {
            file: file.to_owned(),
            values: collections::BTreeMap::new(),
        };
        let ini = ini::Ini::load_from_str(text).map_err(|error| {
            ini_file.fault("", "", format!("line {}: {}", error.line, error.msg))
        })?;
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            ini_file.add_section(section, properties, known)?;
        }
        Ok(ini_file)
    }

    fn add_section(
        &mut self,
        section: &str,
        properties: &ini::Properties,
        known: KnownKeys,
    ) -> Result<(), Fault> {
        let keys = match known.keys_of(section) {
            Some(keys) => keys,
            None => return Err(self.fault(section, "", "unknown section".into())),
        };
        if self.values.contains_key(section) {
            return Err(self.fault(section, "", "appears twice".into()));
        }
        let mut values = collections::BTreeMap::new();
        for (key, value) in properties {
            if !keys.contains(&key) {
                let message = format!("unknown key; known are {}", keys.join(", "));
                return Err(self.fault(section, key, message));
            }
            if values.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(self.fault(section, key, "appears twice".into()));
            }
        }
        self.values.insert(section.to_owned(), values);
        Ok(())
    }

    /// Creates a fault of a key, or of a whole section if `key` is empty.
    pub(crate) fn fault(&self, section: &str, key: &str, message: String) -> Fault {
        Fault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        }
    }

    /// Returns a value without surrounding white space.
    pub(crate) fn get(&self, section: &str, key: &str) -> Option<&str> {
        let value = self.values.get(section)?.get(key)?;
        Some(value.trim())
    }

    /// Returns a value that must be present and not empty.
    pub(crate) fn required(&self, section: &str, key: &str) -> Result<&str, Fault> {
        let value = self.get(section, key).filter(|value| !value.is_empty());
        value.ok_or_else(|| self.fault(section, key, "is missing".into()))
    }

    /// Parses a value, or `default` if the key is absent. Without a default the key is required.
    /// `expected` describes valid values in the fault.
    pub(crate) fn parse_value<T: str::FromStr>(
        &self,
        section: &str,
        key: &str,
        expected: &str,
        default: Option<&str>,
    ) -> Result<T, Fault> {
        let value = match (self.get(section, key), default) {
            (Some(value), _) => value,
            (None, Some(default)) => default,
            (None, None) => self.required(section, key)?,
        };
        value
            .parse()
            .map_err(|_| self.fault(section, key, format!("{value:?} is not {expected}")))
    }

    /// Reads a file. Returns the file name that faults mention, and the text.
    pub(crate) fn read_text(path: &path::Path) -> Result<(String, String), Fault> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok((file, text)),
            Err(error) => Err(Fault::of_file(&file, format!("can't be read: {error}"))),
        }
    }

    /// Returns the log level, `info` by default.
    pub(crate) fn log_level(&self) -> Result<log::LevelFilter, Fault> {
        let levels = "off, error, warn, info, debug or trace";
        self.parse_value("log", "level", levels, Some("info"))
    }

    /// Returns a required value that must be a valid name.
    pub(crate) fn name(&self, section: &str, key: &str) -> Result<ids::Name, Fault> {
        let value = self.required(section, key)?;
        if !ids::is_name(value) {
            let rule = "1 to 63 lower-case letters, digits and inner hyphens";
            return Err(self.fault(section, key, format!("{value:?} is not a name ({rule})")));
        }
        Ok(value.into())
    }

    /// Parses a whole number from `low` to `high`, both inclusive.
    pub(crate) fn number(
        &self,
        section: &str,
        key: &str,
        default: usize,
        low: usize,
        high: usize,
    ) -> Result<usize, Fault> {
        let default = default.to_string();
        let value: usize = self.parse_value(section, key, "a whole number", Some(&default))?;
        if !(low..=high).contains(&value) {
            let message = format!("{value} is outside {low} to {high}");
            return Err(self.fault(section, key, message));
        }
        Ok(value)
    }

    /// Parses a size with unit, such as `64kB` or `1MB`, into bytes.
    pub(crate) fn size(&self, section: &str, key: &str, default: usize) -> Result<usize, Fault> {
        let Some(value) = self.get(section, key) else {
            return Ok(default);
        };
        let units = [("kB", 1_000), ("MB", 1_000_000), ("B", 1)];
        parse_with_unit(value, &units)
            .and_then(|size| usize::try_from(size).ok())
            .filter(|size| *size > 0)
            .ok_or_else(|| {
                let message = format!("{value:?} is not a size with unit B, kB or MB");
                self.fault(section, key, message)
            })
    }

    /// Parses a duration with unit, such as `500ms` or `10s`, into milliseconds.
    pub(crate) fn duration(&self, section: &str, key: &str, default: u64) -> Result<u64, Fault> {
        let Some(value) = self.get(section, key) else {
            return Ok(default);
        };
        let units = [("ms", 1), ("s", 1_000), ("min", 60_000)];
        parse_with_unit(value, &units)
            .filter(|millis| *millis > 0)
            .ok_or_else(|| {
                let message = format!("{value:?} is not a duration with unit ms, s or min");
                self.fault(section, key, message)
            })
    }

    /// Returns the names of all sections.
    pub(crate) fn sections(&self) -> impl Iterator<Item = &str> {
        self.values.keys().map(String::as_str)
    }
}

/// Parses a whole number followed by one of the units, and multiplies it by the unit's factor.
fn parse_with_unit(value: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_start = value.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = value.split_at(unit_start);
    let factor = units.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}
