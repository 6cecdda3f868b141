//! An INI text with the line number of each key, and typed access that collects errors.

use std::collections::HashMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use ini::{Ini, ParseOption, Properties};

use crate::{ConfigError, ConfigErrors};

/// A parsed INI text.
#[derive(Debug, Clone)]
pub struct Document {
    sections: Vec<Section>,
}

/// A section `[kind name]` or `[kind]`.
#[derive(Debug, Clone)]
pub struct Section {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number of the header; 0 if the section is missing from the file.
    pub line: usize,
    /// First word of the header.
    pub kind: String,
    /// Rest of the header; may be empty.
    pub name: String,
    entries: Vec<Entry>,
    errors: Vec<ConfigError>,
}

#[derive(Debug, Clone)]
struct Entry {
    key: String,
    line: usize,
    value: String,
    is_read: bool,
}

/// Line numbers of headers and keys, which the INI library does not report.
#[derive(Debug, Default)]
struct LineNumbers<'a> {
    headers: HashMap<&'a str, usize>,
    keys: HashMap<(&'a str, &'a str), usize>,
}

impl Document {
    /// Parses `text`, which was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns an error for a syntax error, and one for each section or key that occurs twice.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let lines = LineNumbers::scan(file, text, &mut errors);
        let options = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, options) {
            Ok(ini) => ini,
            Err(error) => {
                let found = format!("a syntax error ({})", error.msg);
                errors.0.push(ConfigError {
                    file: file.to_owned(),
                    line: error.line + 1,
                    key: "file".to_owned(),
                    found,
                    expected: "`[section]` and `key = value` lines are allowed".to_owned(),
                });
                return errors.into_result(Self { sections: Vec::new() });
            }
        };
        let file: Arc<str> = Arc::from(file);
        let sections = ini.into_iter().filter_map(|(header, properties)| {
            let header = header.unwrap_or_default();
            if header.is_empty() && properties.is_empty() {
                return None;
            }
            Some(Section::new(&file, &header, properties, &lines))
        });
        let sections = sections.collect();
        errors.into_result(Self { sections })
    }

    /// Removes and returns the sections of a kind.
    pub fn take(&mut self, kind: &str) -> Vec<Section> {
        let (taken, rest) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.kind == kind);
        self.sections = rest;
        taken
    }

    /// Removes and returns the only section of a kind, or an empty section if there is none.
    pub fn take_single(&mut self, file: &str, kind: &str) -> Section {
        let section = self.take(kind).pop();
        section.unwrap_or_else(|| Section::new(&Arc::from(file), kind, Properties::new(), &LineNumbers::default()))
    }

    /// Adds an error for each section that has not been removed; `kinds` lists the allowed kinds.
    pub fn finish(self, kinds: &str, errors: &mut ConfigErrors) {
        for section in self.sections {
            errors.0.push(section.error_at(
                section.line,
                "",
                &section.kind,
                &format!("allowed sections are {kinds}"),
            ));
        }
    }
}

impl<'a> LineNumbers<'a> {
    fn scan(file: &str, text: &'a str, errors: &mut ConfigErrors) -> Self {
        let mut lines = Self::default();
        let mut header = "";
        for (index, line) in text.lines().enumerate() {
            let (line, number) = (line.trim(), index + 1);
            let duplicate = |key: String| ConfigError {
                file: file.to_owned(),
                line: number,
                key,
                found: "a second one".to_owned(),
                expected: "each may occur once".to_owned(),
            };
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            if let Some(rest) = line.strip_prefix('[') {
                header = rest.split(']').next().unwrap_or_default().trim();
                if lines.headers.insert(header, number).is_some() {
                    errors.0.push(duplicate(format!("[{header}]")));
                }
                continue;
            }
            let key = line.split(['=', ':']).next().unwrap_or_default().trim();
            if lines.keys.insert((header, key), number).is_some() {
                errors.0.push(duplicate(format!("[{header}] {key}")));
            }
        }
        lines
    }
}

impl Section {
    fn new(file: &Arc<str>, header: &str, properties: Properties, lines: &LineNumbers<'_>) -> Self {
        let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
        let entry = |(key, value): (String, String)| {
            let line = lines.keys.get(&(header, key.as_str())).copied().unwrap_or_default();
            Entry {
                key,
                line,
                value,
                is_read: false,
            }
        };
        Self {
            file: Arc::clone(file),
            line: lines.headers.get(header).copied().unwrap_or_default(),
            kind: kind.to_owned(),
            name: name.trim().to_owned(),
            entries: properties.into_iter().map(entry).collect(),
            errors: Vec::new(),
        }
    }

    /// Parses the id in the header. Records an error and returns `None` if it is not valid.
    pub fn id<T: FromStr<Err: Display>>(&mut self) -> Option<T> {
        match self.name.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let name = self.name.clone();
                self.add_error_at(self.line, "name", &name, &error);
                None
            }
        }
    }

    /// Parses the value of a required key. Records an error and returns `None` if it is missing or not valid.
    pub fn required<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        if self.entry(key).is_none() {
            let error = self.error_at(self.line, key, "nothing", "a value is required");
            self.errors.push(error);
            return None;
        }
        self.optional(key)
    }

    /// Parses the value of an optional key. Returns `None` if it is missing; records an error and returns `None` if it is
    /// not valid.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        let entry = self.entries.iter_mut().find(|entry| entry.key == key)?;
        entry.is_read = true;
        match entry.value.trim().parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let (line, value) = (entry.line, entry.value.clone());
                self.add_error_at(line, key, value.trim(), &error);
                None
            }
        }
    }

    /// Like [`Self::optional`], but returns `default` instead of `None`.
    pub fn optional_or<T: FromStr<Err: Display>>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Parses a comma-separated list; empty if the key is missing. Records an error for each item that is not valid.
    pub fn list<T: FromStr<Err: Display>>(&mut self, key: &str) -> Vec<T> {
        let Some(text) = self.optional::<String>(key) else {
            return Vec::new();
        };
        let line = self.line_of(key);
        let mut items = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.parse() {
                Ok(item) => items.push(item),
                Err(error) => self.add_error_at(line, key, item, &error),
            }
        }
        items
    }

    /// Parses `yes` or `no`. Returns `default` if the key is missing or, with an error, if the value is something else.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.optional::<String>(key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.add_error(key, other, "`yes` and `no` are allowed");
                default
            }
        }
    }

    /// Records an error about the value of a key.
    pub fn add_error(&mut self, key: &str, found: &str, expected: &str) {
        self.add_error_at(self.line_of(key), key, found, &expected);
    }

    /// Moves the section's errors to `errors`, and adds one for each key that was not read.
    pub fn finish(mut self, errors: &mut ConfigErrors) {
        let unread = self.entries.iter().filter(|entry| !entry.is_read);
        let unknown =
            unread.map(|entry| self.error_at(entry.line, &entry.key, "an unknown key", "remove or rename it"));
        let unknown: Vec<_> = unknown.collect();
        errors.0.append(&mut self.errors);
        errors.0.extend(unknown);
    }

    fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }

    fn add_error_at(&mut self, line: usize, key: &str, found: &str, expected: &impl Display) {
        let error = self.error_at(line, key, &format!("`{found}`"), &expected.to_string());
        self.errors.push(error);
    }

    fn error_at(&self, line: usize, key: &str, found: &str, expected: &str) -> ConfigError {
        let header = if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        };
        let key = if key.is_empty() {
            format!("[{header}]")
        } else {
            format!("[{header}] {key}")
        };
        ConfigError {
            file: self.file.to_string(),
            line,
            key,
            found: found.to_owned(),
            expected: expected.to_owned(),
        }
    }
}
