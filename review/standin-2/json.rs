//! A small JSON reader, and Base64.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; malformed parts read as null.
    pub fn parse(text: &str) -> Self {
        let chars: Vec<char> = text.chars().collect();
        parse_value(&chars, &mut 0)
    }

    /// Returns a field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the elements of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    /// Returns a text; empty if it is none.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; 0 if it is none.
    pub fn whole(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Json {
    skip_space(chars, at);
    match chars.get(*at) {
        Some('{') => parse_object(chars, at),
        Some('[') => parse_list(chars, at),
        Some('"') => Json::Text(parse_text(chars, at)),
        _ => parse_word(chars, at),
    }
}

fn parse_word(chars: &[char], at: &mut usize) -> Json {
    let start = *at;
    while chars.get(*at).is_some_and(|c| !",]} \n\t\r".contains(*c)) {
        *at += 1;
    }
    let word: String = chars[start..*at].iter().collect();
    word.parse().map_or(Json::Null, Json::Number)
}

fn parse_text(chars: &[char], at: &mut usize) -> String {
    let mut text = String::new();
    *at += 1;
    while let Some(c) = chars.get(*at) {
        *at += 1;
        match c {
            '"' => break,
            '\\' => {
                if let Some(escaped) = chars.get(*at) {
                    text.push(*escaped);
                }
                *at += 1;
            }
            c => text.push(*c),
        }
    }
    text
}

fn parse_list(chars: &[char], at: &mut usize) -> Json {
    let mut items = Vec::new();
    *at += 1;
    loop {
        skip_space(chars, at);
        match chars.get(*at) {
            None => break,
            Some(']') => {
                *at += 1;
                break;
            }
            Some(',') => *at += 1,
            Some(_) => items.push(parse_value(chars, at)),
        }
    }
    Json::List(items)
}

fn parse_object(chars: &[char], at: &mut usize) -> Json {
    let mut fields = BTreeMap::new();
    *at += 1;
    loop {
        skip_space(chars, at);
        match chars.get(*at) {
            Some('"') => {
                let name = parse_text(chars, at);
                skip_space(chars, at);
                *at += 1;
                fields.insert(name, parse_value(chars, at));
            }
            Some(',') => *at += 1,
            _ => {
                *at += 1;
                break;
            }
        }
    }
    Json::Object(fields)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in Base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, i| {
            word << 8 | u32::from(chunk.get(i).copied().unwrap_or(0))
        });
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes Base64.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|c| DIGITS.iter().position(|digit| *digit == c));
    let digits: Vec<_> = digits.collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let word = (0..4).fold(0, |word, i| word << 6 | chunk.get(i).copied().unwrap_or(0));
        bytes.extend((0..chunk.len().saturating_sub(1)).map(|i| (word >> (16 - 8 * i) & 255) as u8));
    }
    bytes
}
