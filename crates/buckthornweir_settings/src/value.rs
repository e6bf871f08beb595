//! Readers of values. Each returns what is allowed as its error, for [`crate::Section`] to report.

use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

/// What is allowed where a value was refused, in words for an operator.
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

/// The most items of a list.
const LIST_LIMIT: usize = 1_024;

/// The result of reading one value.
pub type Result<T> = std::result::Result<T, Allowed>;

/// Reads a text that is not empty.
///
/// # Errors
///
/// Returns what is allowed.
pub fn text<T: for<'a> From<&'a str>>(value: &str) -> Result<T> {
    if value.is_empty() {
        return Err("a text that is not empty".into());
    }
    Ok(T::from(value))
}

/// Reads a name of lower-case letters, digits and hyphens.
///
/// # Errors
///
/// Returns what is allowed.
pub fn name<T: for<'a> From<&'a str>>(value: &str) -> Result<T> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if value.is_empty() || value.len() > 63 || !value.chars().all(fits) {
        return Err("a name of 1 to 63 lower-case letters, digits and hyphens".into());
    }
    Ok(T::from(value))
}

/// Reads an IP address with a port.
///
/// # Errors
///
/// Returns what is allowed.
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

/// Reads a port.
///
/// # Errors
///
/// Returns what is allowed.
pub fn port(value: &str) -> Result<u16> {
    match value.parse() {
        Ok(port) if port > 0 => Ok(port),
        _ => Err("a port from 1 to 65535".into()),
    }
}

/// Returns a reader of a whole number within `range`.
pub fn number<T>(range: RangeInclusive<T>) -> impl FnOnce(&str) -> Result<T>
where
    T: FromStr + PartialOrd + Display,
{
    move |value| match value.parse::<T>() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(format!("a whole number from {} to {}", range.start(), range.end()).into()),
    }
}

/// Returns a reader of a length of time, such as `250ms` or `2s`, within `range`.
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

/// Reads `yes` or `no`.
///
/// # Errors
///
/// Returns what is allowed.
pub fn yes_no(value: &str) -> Result<bool> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("yes or no".into()),
    }
}

/// Returns a reader that maps one of the given words to its value.
pub fn one_of<T: Clone>(words: &[(&'static str, T)]) -> impl FnOnce(&str) -> Result<T> {
    let words = words.to_vec();
    move |value| match words.iter().find(|(word, _)| *word == value) {
        Some((_, meaning)) => Ok(meaning.clone()),
        None => {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            Err(known.join(", ").into())
        }
    }
}

/// Returns a reader of a comma-separated list whose items are read by `item`; an item that stands
/// twice is refused, and so is a list of more than 1,024 items.
pub fn list<T: PartialEq>(item: impl Fn(&str) -> Result<T>) -> impl FnOnce(&str) -> Result<Vec<T>> {
    move |value| {
        let mut items = Vec::new();
        for part in value.split(',') {
            let read = item(part.trim())
                .map_err(|allowed| format!("a list separated by commas, each {allowed}"))?;
            if items.contains(&read) {
                return Err("a list separated by commas in which no item stands twice".into());
            }
            if items.len() >= LIST_LIMIT {
                return Err(format!("a list of at most {LIST_LIMIT} items").into());
            }
            items.push(read);
        }
        Ok(items)
    }
}

/// Reads `N` bytes from hexadecimal digits.
///
/// # Errors
///
/// Returns what is allowed.
pub fn hex<const N: usize>(value: &str) -> Result<[u8; N]> {
    let allowed = || Allowed::from(format!("{} hexadecimal digits", 2 * N));
    if value.len() != 2 * N || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(allowed());
    }
    let mut bytes = [0; N];
    for (at, byte) in bytes.iter_mut().enumerate() {
        let digits = &value[2 * at..2 * at + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| allowed())?;
    }
    Ok(bytes)
}

/// Writes bytes as hexadecimal digits, as [`hex`] reads them.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
