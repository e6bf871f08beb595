//! Reads a bundle from INI text.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use buckthornweir_settings::{Document, Place, Section, value};
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::model::{Bundle, Domain, Protocol, Service, Version};

/// The most failure domains of a bundle.
const DOMAIN_LIMIT: usize = 64;

/// The most services of a bundle.
const SERVICE_LIMIT: usize = 4_096;

/// The highest version, so that a client never has to count past what fits.
const VERSION_LIMIT: Version = Version::MAX - 1;

/// The sections of a bundle without a signature, as faults list them.
const SECTIONS: &str = "[bundle], [domain NAME], [service NAME]";

/// The sections of a signed bundle, as faults list them.
pub(crate) const SIGNED_SECTIONS: &str = "[bundle], [domain NAME], [service NAME], [signature]";

impl Bundle {
    /// Reads and checks a bundle without a signature; `file` is the name used in faults.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line, key and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut document = Document::parse(file, text)?;
        let bundle = read_bundle(&mut document)?;
        document.finish(SECTIONS)?;
        Ok(bundle)
    }
}

/// Takes all sections but the signature.
pub(crate) fn read_bundle(document: &mut Document) -> Result<Bundle> {
    let mut head = document.take("bundle")?;
    let version = head.required("version", value::number(1..=VERSION_LIMIT))?;
    let force = head.or("force", false, value::yes_no)?;
    head.finish()?;
    let sections = document.take_all("domain");
    check_count(&sections, "failure domains", DOMAIN_LIMIT)?;
    let mut domains = Vec::new();
    for section in sections {
        domains.push(read_domain(section)?);
    }
    let sections = document.take_all("service");
    check_count(&sections, "services", SERVICE_LIMIT)?;
    let mut services = Vec::new();
    for section in sections {
        services.push(read_service(section, &domains)?);
    }
    check_addresses(&services)?;
    if !force {
        check_domains(&services, &domains)?;
    }
    let mut services: Vec<Service> = services.into_iter().map(|read| read.service).collect();
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    services.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Bundle {
        version,
        force,
        domains,
        services,
    })
}

/// A service with the places that later checks name.
struct ReadService {
    service: Service,
    addresses: Box<Place>,
    domains: Box<Place>,
}

fn read_domain(mut section: Section) -> Result<Domain> {
    let name = label(&section)?;
    let region = section.required("region", value::name)?;
    let states = [("in", false), ("out", true)];
    let out = section.or("state", false, value::one_of(&states))?;
    section.finish()?;
    Ok(Domain { name, region, out })
}

fn read_service(mut section: Section, domains: &[Domain]) -> Result<ReadService> {
    let name = label(&section)?;
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
    };
    let read = ReadService {
        service,
        addresses: section.place_of("addresses"),
        domains: section.place_of("domains"),
    };
    section.finish()?;
    Ok(read)
}

fn sorted<T: Ord>(mut items: Vec<T>) -> Vec<T> {
    items.sort();
    items
}

/// Reads an address that callers can send to.
fn service_address(item: &str) -> value::Result<SocketAddr> {
    let address = value::address(item)?;
    let ip = address.ip();
    if ip.is_unspecified() || ip.is_multicast() || ip == IpAddr::from([255; 4]) {
        return Err("the address of one host with a port, such as 10.0.0.1:80".into());
    }
    Ok(address)
}

/// Returns a reader of a length of time in whole milliseconds, as the canonical text writes it.
fn whole_millis(range: RangeInclusive<Duration>) -> impl FnOnce(&str) -> value::Result<Duration> {
    move |text| {
        let time = value::duration(range)(text)?;
        if time.subsec_nanos() % 1_000_000 != 0 {
            return Err("a length of time in whole milliseconds".into());
        }
        Ok(time)
    }
}

fn label(section: &Section) -> Result<SmolStr> {
    let label = section.label();
    let read = value::name::<SmolStr>(label);
    Ok(read.map_err(|allowed| section.invalid_value("NAME", label, allowed.as_ref()))?)
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

fn check_addresses(services: &[ReadService]) -> Result<()> {
    let mut holders: HashMap<SocketAddr, &SmolStr> = HashMap::new();
    for read in services {
        for address in &read.service.addresses {
            if let Some(holder) = holders.insert(*address, &read.service.name) {
                return Err(Fault::AddressTaken {
                    place: read.addresses.clone(),
                    address: *address,
                    holder: holder.clone(),
                });
            }
        }
    }
    Ok(())
}

fn check_domains(services: &[ReadService], domains: &[Domain]) -> Result<()> {
    let is_in = |name: &SmolStr| domains.iter().any(|d| d.name == *name && !d.out);
    for read in services {
        if !read.service.domains.iter().any(is_in) {
            return Err(Fault::NoDomainLeft {
                place: read.domains.clone(),
            });
        }
    }
    Ok(())
}
