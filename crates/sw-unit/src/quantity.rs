//! Numbers with units.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Micro-units per currency unit.
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// Error for text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseQuantityError {
    found: String,
    expected: &'static str,
}

impl ParseQuantityError {
    fn new(found: &str, expected: &'static str) -> Self {
        Self {
            found: found.to_owned(),
            expected,
        }
    }
}

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not {}", self.found.escape_default(), self.expected)
    }
}

impl std::error::Error for ParseQuantityError {}

macro_rules! whole {
    ($($(#[$doc:meta])* $name:ident, $expected:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the difference, or zero if `other` is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let parsed = text.parse();
                parsed.map(Self).map_err(|_not_a_number: std::num::ParseIntError| ParseQuantityError::new(text, $expected))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }
    )*};
}

whole! {
    /// Size in bytes.
    Bytes, "a whole number of bytes";
    /// Fencing token of a lease: a receiver rejects orders with a lower token than the highest it has seen.
    FencingToken, "a fencing token";
    /// Number of one run of a process; a restart gets a higher one.
    Incarnation, "an incarnation number";
    /// Duration in milliseconds.
    Millis, "a whole number of milliseconds";
    /// Count of model tokens.
    Tokens, "a whole number of tokens";
    /// Version number of the fleet configuration.
    Version, "a version number";
}

/// Amount of money in the currency of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Money {
    /// Amount in millionths of the currency unit.
    pub micros: u64,
}

impl Money {
    /// Returns the amount in currency units.
    pub fn units(self) -> f64 {
        self.micros as f64 / MICROS_PER_UNIT
    }
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.units(), f)
    }
}

impl FromStr for Money {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = parse_decimal(text, "an amount of money, such as 0.25")?;
        Ok(Self {
            micros: (units * MICROS_PER_UNIT).round() as u64,
        })
    }
}

macro_rules! decimal {
    ($($(#[$doc:meta])* $name:ident, $expected:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub f64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_decimal(text, $expected).map(Self)
            }
        }
    )*};
}

decimal! {
    /// Rate in events per second.
    Rate, "a rate a second of 0 or more";
    /// Weight without a unit.
    Weight, "a weight of 0 or more";
}

fn parse_decimal(text: &str, expected: &'static str) -> Result<f64, ParseQuantityError> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
        _ => Err(ParseQuantityError::new(text, expected)),
    }
}
