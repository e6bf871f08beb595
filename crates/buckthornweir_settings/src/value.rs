//! Parsers of values. The error of each parser describes the allowed values, which
//! [`crate::Section`] includes in its error message.

use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

/// A description of the allowed values for an operator, returned as the error for an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowed {
    text: SmolStr,
}

impl From<&str> for Allowed {
    fn from(text: &str) -> Self {
        Self { text: text.into() }
    }
}

impl From<String> for Allowed {
    fn from(text: String) -> Self {
        Self { text: text.into() }
    }
}

impl AsRef<str> for Allowed {
    fn as_ref(&self) -> &str {
        &self.text
    }
}

impl std::error::Error for Allowed {}

impl Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// The maximum number of items in a list.
const MAX_LIST_ITEMS: usize = 1_024;

/// The result of parsing a value.
pub type Result<T> = std::result::Result<T, Allowed>;

/// Parses a non-empty text.
///
/// # Errors
///
/// Returns a description of the allowed values.
pub fn text<T: for<'a> From<&'a str>>(value: &str) -> Result<T> {
    if value.is_empty() {
        return Err("a text that is not empty".into());
    }
    Ok(T::from(value))
}

/// Parses a name of 1 to 63 lowercase letters, digits and hyphens.
///
/// # Errors
///
/// Returns a description of the allowed values.
pub fn name<T: for<'a> From<&'a str>>(value: &str) -> Result<T> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if value.is_empty() || value.len() > 63 || !value.chars().all(is_allowed) {
        return Err("a name of 1 to 63 lower-case letters, digits and hyphens".into());
    }
    Ok(T::from(value))
}

/// Parses an IP address with a nonzero port.
///
/// # Errors
///
/// Returns a description of the allowed values.
pub fn address(value: &str) -> Result<SocketAddr> {
    let address: SocketAddr = value.parse().map_err(|_| address_allowed())?;
    if address.port() == 0 {
        return Err(address_allowed());
    }
    Ok(address)
}

fn address_allowed() -> Allowed {
    "an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000".into()
}

/// Parses a nonzero port.
///
/// # Errors
///
/// Returns a description of the allowed values.
pub fn port(value: &str) -> Result<u16> {
    match value.parse() {
        Ok(port) if port > 0 => Ok(port),
        _ => Err("a port from 1 to 65535".into()),
    }
}

/// Returns a parser of an integer within `range`.
pub fn number<T>(range: RangeInclusive<T>) -> impl FnOnce(&str) -> Result<T>
where
    T: FromStr + PartialOrd + Display,
{
    move |value| match value.parse::<T>() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(format!("a whole number from {} to {}", range.start(), range.end()).into()),
    }
}

/// Returns a parser of a whole percentage within `range`, such as `5%`.
pub fn percent(range: RangeInclusive<u32>) -> impl FnOnce(&str) -> Result<u32> {
    move |value| {
        let digits = value.strip_suffix('%').unwrap_or_default();
        let is_number = digits.bytes().all(|b| b.is_ascii_digit());
        match digits.parse() {
            Ok(percent) if is_number && range.contains(&percent) => Ok(percent),
            _ => Err(format!(
                "a whole percentage from {}% to {}%, such as {}%",
                range.start(),
                range.end(),
                range.end()
            )
            .into()),
        }
    }
}

/// Returns a parser of a duration within `range`, such as `250ms` or `2s`.
pub fn duration(range: RangeInclusive<Duration>) -> impl FnOnce(&str) -> Result<Duration> {
    move |value| match humantime::parse_duration(value) {
        Ok(time) if range.contains(&time) => Ok(time),
        _ => Err(format!(
            "a length of time from {} to {}, such as 250ms or 2s",
            humantime::format_duration(*range.start()),
            humantime::format_duration(*range.end())
        )
        .into()),
    }
}

/// Parses `yes` or `no`.
///
/// # Errors
///
/// Returns a description of the allowed values.
pub fn yes_no(value: &str) -> Result<bool> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("yes or no".into()),
    }
}

/// Returns a parser that maps each of the given words to a value.
pub fn one_of<T: Clone>(choices: &[(&'static str, T)]) -> impl FnOnce(&str) -> Result<T> {
    let choices = choices.to_vec();
    move |value| match choices.iter().find(|(word, _)| *word == value) {
        Some((_, result)) => Ok(result.clone()),
        None => {
            let known: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            Err(known.join(", ").into())
        }
    }
}

/// Returns a parser of a comma-separated list whose items are parsed by `item`.
///
/// Duplicate items and lists of more than 1,024 items are refused.
pub fn list<T: PartialEq>(item: impl Fn(&str) -> Result<T>) -> impl FnOnce(&str) -> Result<Vec<T>> {
    move |value| {
        let mut items = Vec::new();
        for part in value.split(',') {
            let parsed = item(part.trim())
                .map_err(|allowed| format!("a list separated by commas, each {allowed}"))?;
            if items.contains(&parsed) {
                return Err("a list separated by commas in which no item stands twice".into());
            }
            if items.len() >= MAX_LIST_ITEMS {
                return Err(format!("a list of at most {MAX_LIST_ITEMS} items").into());
            }
            items.push(parsed);
        }
        Ok(items)
    }
}

/// Parses `N` bytes from hexadecimal digits.
///
/// # Errors
///
/// Returns a description of the allowed values.
pub fn hex<const N: usize>(value: &str) -> Result<[u8; N]> {
    let allowed = || Allowed::from(format!("{} hexadecimal digits", 2 * N));
    if value.len() != 2 * N || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(allowed());
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &value[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| allowed())?;
    }
    Ok(bytes)
}

/// Formats bytes as lowercase hexadecimal digits, which [`hex`] parses.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
