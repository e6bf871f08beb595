//! Parsing of a bundle from INI text.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use buckthornweir_settings::{Document, Place, Section, value};
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::model::{Bundle, Domain, Protocol, Service, Version};

/// The maximum number of failure domains in a bundle.
const MAX_DOMAINS: usize = 64;

/// The maximum number of services in a bundle.
const MAX_SERVICES: usize = 4_096;

/// The highest percentage of hedged requests. Above a fifth, hedging costs backend servers more
/// capacity than a caller's latency is worth.
const MAX_SECOND_TRIES: u32 = 20;

/// The highest accepted version. It is below [`Version::MAX`], so that the next version does not
/// overflow.
const MAX_VERSION: Version = Version::MAX - 1;

/// The allowed sections of an unsigned bundle, for error messages.
const SECTIONS: &str = "[bundle], [domain NAME], [service NAME]";

/// The allowed sections of a signed bundle, for error messages.
pub(crate) const SIGNED_SECTIONS: &str = "[bundle], [domain NAME], [service NAME], [signature]";

impl Bundle {
    /// Parses and checks an unsigned bundle; `file` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line, its key and the allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut document = Document::parse(file, text)?;
        let bundle = parse_bundle(&mut document)?;
        document.finish(SECTIONS)?;
        Ok(bundle)
    }
}

/// Parses and checks all sections except the signature.
pub(crate) fn parse_bundle(document: &mut Document) -> Result<Bundle> {
    let mut bundle_section = document.take("bundle")?;
    let version = bundle_section.required("version", value::number(1..=MAX_VERSION))?;
    let force = bundle_section.or("force", false, value::yes_no)?;
    bundle_section.finish()?;
    let sections = document.take_all("domain");
    check_count(&sections, "failure domains", MAX_DOMAINS)?;
    let mut domains = Vec::new();
    for section in sections {
        domains.push(parse_domain(section)?);
    }
    let sections = document.take_all("service");
    check_count(&sections, "services", MAX_SERVICES)?;
    let mut services = Vec::new();
    for section in sections {
        services.push(parse_service(section, &domains)?);
    }
    check_addresses(&services)?;
    if !force {
        check_domains(&services, &domains)?;
    }
    let mut services: Vec<Service> = services.into_iter().map(|parsed| parsed.service).collect();
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    services.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Bundle {
        version,
        force,
        domains,
        services,
    })
}

/// A service with the places of its keys, for the errors of later checks.
struct ParsedService {
    service: Service,
    addresses: Box<Place>,
    domains: Box<Place>,
}

fn parse_domain(mut section: Section) -> Result<Domain> {
    let name = section_name(&section)?;
    let region = section.required("region", value::name)?;
    let states = [("in", false), ("out", true)];
    let out = section.or("state", false, value::one_of(&states))?;
    section.finish()?;
    Ok(Domain { name, region, out })
}

fn parse_service(mut section: Section, domains: &[Domain]) -> Result<ParsedService> {
    let name = section_name(&section)?;
    let addresses = section.required("addresses", value::list(service_address))?;
    let protocols = [("http", Protocol::Http), ("tcp", Protocol::Tcp)];
    let protocol = section.or("protocol", Protocol::Http, value::one_of(&protocols))?;
    let known = |item: &str| known_domain(item, domains);
    let domains = section.required("domains", value::list(known))?;
    let slots = section.or("slots", 5, value::number(1..=1_000))?;
    let cold = section.or("cold", 1, value::number(1..=slots))?;
    let connections = section.or("connections", 2_000, value::number(1..=100_000))?;
    let queue = section.or("queue", 20, value::number(0..=10_000))?;
    let deadline_range = Duration::from_millis(10)..=Duration::from_secs(3_600);
    let deadline = section.or(
        "deadline",
        Duration::from_secs(10),
        whole_millis(deadline_range),
    )?;
    let most_tries = match protocol {
        Protocol::Http => MAX_SECOND_TRIES,
        // Requests inside relayed bytes are not visible, so none can be hedged.
        Protocol::Tcp => 0,
    };
    let second_tries = section.or("second-tries", 0, value::percent(0..=most_tries))?;
    let service = Service {
        name,
        addresses: sorted(addresses),
        protocol,
        domains: sorted(domains),
        slots,
        cold,
        connections,
        queue,
        deadline,
        second_tries,
    };
    let parsed = ParsedService {
        service,
        addresses: section.place_of("addresses"),
        domains: section.place_of("domains"),
    };
    section.finish()?;
    Ok(parsed)
}

fn sorted<T: Ord>(mut items: Vec<T>) -> Vec<T> {
    items.sort();
    items
}

/// Parses a unicast address.
fn service_address(item: &str) -> value::Result<SocketAddr> {
    let address = value::address(item)?;
    let ip = address.ip();
    if ip.is_unspecified() || ip.is_multicast() || ip == IpAddr::from([255; 4]) {
        return Err("the address of one host with a port, such as 10.0.0.1:80".into());
    }
    Ok(address)
}

/// Returns a parser of a duration in whole milliseconds, which is the precision of the canonical
/// text.
fn whole_millis(range: RangeInclusive<Duration>) -> impl FnOnce(&str) -> value::Result<Duration> {
    move |text| {
        let time = value::duration(range)(text)?;
        if time.subsec_nanos() % 1_000_000 != 0 {
            return Err("a length of time in whole milliseconds".into());
        }
        Ok(time)
    }
}

fn section_name(section: &Section) -> Result<SmolStr> {
    let label = section.label();
    let parsed = value::name::<SmolStr>(label);
    Ok(parsed.map_err(|allowed| section.invalid_value("NAME", label, allowed.as_ref()))?)
}

fn known_domain(item: &str, domains: &[Domain]) -> value::Result<SmolStr> {
    if domains.iter().any(|d| d.name == item) {
        return Ok(item.into());
    }
    let known: Vec<&str> = domains.iter().map(|d| d.name.as_str()).collect();
    match known.as_slice() {
        [] => Err("the name of a [domain NAME] section".into()),
        _ => Err(format!("one of {}", known.join(", ")).into()),
    }
}

fn check_count(sections: &[Section], what: &'static str, limit: usize) -> Result<()> {
    match sections.get(limit) {
        None => Ok(()),
        Some(section) => Err(Fault::TooMany {
            place: section.place_of(""),
            what,
            limit,
        }),
    }
}

fn check_addresses(services: &[ParsedService]) -> Result<()> {
    let mut holders: HashMap<SocketAddr, &SmolStr> = HashMap::new();
    for parsed in services {
        for address in &parsed.service.addresses {
            if let Some(holder) = holders.insert(*address, &parsed.service.name) {
                return Err(Fault::AddressTaken {
                    place: parsed.addresses.clone(),
                    address: *address,
                    holder: holder.clone(),
                });
            }
        }
    }
    Ok(())
}

fn check_domains(services: &[ParsedService], domains: &[Domain]) -> Result<()> {
    let is_in = |name: &SmolStr| domains.iter().any(|d| d.name == *name && !d.out);
    for parsed in services {
        if !parsed.service.domains.iter().any(is_in) {
            return Err(Fault::NoDomainLeft {
                place: parsed.domains.clone(),
            });
        }
    }
    Ok(())
}
