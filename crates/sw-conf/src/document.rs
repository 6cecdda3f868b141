//! An INI text with the line of each key, and typed access that collects faults.

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
    /// The file it stands in.
    pub file: Arc<str>,
    /// The line of its header.
    pub line: usize,
    /// The first word of the header.
    pub kind: String,
    /// The rest of the header, or the empty text.
    pub name: String,
    entries: Vec<Entry>,
    faults: Vec<ConfigError>,
}

#[derive(Debug, Clone)]
struct Entry {
    key: String,
    line: usize,
    value: String,
    read: bool,
}

/// Lines of headers and keys, which the INI library does not report.
#[derive(Debug, Default)]
struct Lines<'a> {
    headers: HashMap<&'a str, usize>,
    keys: HashMap<(&'a str, &'a str), usize>,
}

impl Document {
    /// Parses `text`, which was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns a fault for a syntax error, and for each section or key that occurs twice.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut faults = ConfigErrors::default();
        let lines = Lines::scan(file, text, &mut faults);
        let options = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, options) {
            Ok(ini) => ini,
            Err(error) => {
                let found = format!("a syntax error ({})", error.msg);
                faults.0.push(ConfigError {
                    file: file.to_owned(),
                    line: error.line + 1,
                    key: "file".to_owned(),
                    found,
                    allowed: "`[section]` and `key = value` lines are allowed".to_owned(),
                });
                return faults.or(Self { sections: Vec::new() });
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
        faults.or(Self { sections })
    }

    /// Takes the sections of a kind out of the document.
    pub fn take(&mut self, kind: &str) -> Vec<Section> {
        let (taken, kept) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.kind == kind);
        self.sections = kept;
        taken
    }

    /// Takes the only section of a kind; an empty one stands in for a missing one.
    pub fn take_single(&mut self, file: &str, kind: &str) -> Section {
        let section = self.take(kind).pop();
        section.unwrap_or_else(|| Section::new(&Arc::from(file), kind, Properties::new(), &Lines::default()))
    }

    /// Adds a fault for each section that was not taken.
    pub fn finish(self, kinds: &str, faults: &mut ConfigErrors) {
        for section in self.sections {
            faults.0.push(section.fault_at(
                section.line,
                "",
                &section.kind,
                &format!("allowed sections are {kinds}"),
            ));
        }
    }
}

impl<'a> Lines<'a> {
    fn scan(file: &str, text: &'a str, faults: &mut ConfigErrors) -> Self {
        let mut lines = Self::default();
        let mut header = "";
        for (index, line) in text.lines().enumerate() {
            let (line, number) = (line.trim(), index + 1);
            let duplicate = |key: String| ConfigError {
                file: file.to_owned(),
                line: number,
                key,
                found: "a second one".to_owned(),
                allowed: "each may occur once".to_owned(),
            };
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            if let Some(rest) = line.strip_prefix('[') {
                header = rest.split(']').next().unwrap_or_default().trim();
                if lines.headers.insert(header, number).is_some() {
                    faults.0.push(duplicate(format!("[{header}]")));
                }
                continue;
            }
            let key = line.split(['=', ':']).next().unwrap_or_default().trim();
            if lines.keys.insert((header, key), number).is_some() {
                faults.0.push(duplicate(format!("[{header}] {key}")));
            }
        }
        lines
    }
}

impl Section {
    fn new(file: &Arc<str>, header: &str, properties: Properties, lines: &Lines<'_>) -> Self {
        let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
        let entry = |(key, value): (String, String)| {
            let line = lines.keys.get(&(header, key.as_str())).copied().unwrap_or_default();
            Entry {
                key,
                line,
                value,
                read: false,
            }
        };
        Self {
            file: Arc::clone(file),
            line: lines.headers.get(header).copied().unwrap_or_default(),
            kind: kind.to_owned(),
            name: name.trim().to_owned(),
            entries: properties.into_iter().map(entry).collect(),
            faults: Vec::new(),
        }
    }

    /// The id in the header; `None`, with a fault, if it is not valid.
    pub fn id<T: FromStr<Err: Display>>(&mut self) -> Option<T> {
        match self.name.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let name = self.name.clone();
                self.reject_at(self.line, "name", &name, &error);
                None
            }
        }
    }

    /// The value of a key that must be there; `None`, with a fault, if it is missing or not valid.
    pub fn required<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        if self.entry(key).is_none() {
            let fault = self.fault_at(self.line, key, "nothing", "a value is required");
            self.faults.push(fault);
            return None;
        }
        self.optional(key)
    }

    /// The value of a key; `None` if it is missing, or, with a fault, if it is not valid.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        let entry = self.entries.iter_mut().find(|entry| entry.key == key)?;
        entry.read = true;
        match entry.value.trim().parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let (line, value) = (entry.line, entry.value.clone());
                self.reject_at(line, key, value.trim(), &error);
                None
            }
        }
    }

    /// The value of a key, or `default` if it is missing or not valid.
    pub fn or<T: FromStr<Err: Display>>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// A comma-separated list; empty if the key is missing.
    pub fn list<T: FromStr<Err: Display>>(&mut self, key: &str) -> Vec<T> {
        let Some(text) = self.optional::<String>(key) else {
            return Vec::new();
        };
        let line = self.line_of(key);
        let mut items = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.parse() {
                Ok(item) => items.push(item),
                Err(error) => self.reject_at(line, key, item, &error),
            }
        }
        items
    }

    /// A yes-or-no key, or `default` if it is missing.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.optional::<String>(key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.reject(key, other, "`yes` and `no` are allowed");
                default
            }
        }
    }

    /// Adds a fault to a key.
    pub fn reject(&mut self, key: &str, found: &str, allowed: &str) {
        self.reject_at(self.line_of(key), key, found, &allowed);
    }

    /// Adds a fault for each key that was not read, and moves all faults to `faults`.
    pub fn finish(mut self, faults: &mut ConfigErrors) {
        let unread = self.entries.iter().filter(|entry| !entry.read);
        let unknown =
            unread.map(|entry| self.fault_at(entry.line, &entry.key, "an unknown key", "remove or rename it"));
        let unknown: Vec<_> = unknown.collect();
        faults.0.append(&mut self.faults);
        faults.0.extend(unknown);
    }

    fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }

    fn reject_at(&mut self, line: usize, key: &str, found: &str, allowed: &impl Display) {
        let fault = self.fault_at(line, key, &format!("`{found}`"), &allowed.to_string());
        self.faults.push(fault);
    }

    fn fault_at(&self, line: usize, key: &str, found: &str, allowed: &str) -> ConfigError {
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
            allowed: allowed.to_owned(),
        }
    }
}
