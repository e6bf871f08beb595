//! Reads a bundle from INI text.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_settings::{Document, Section, value};
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::model::{Bundle, Domain, Protocol, Service};

/// The most failure domains of a bundle.
const DOMAIN_LIMIT: usize = 64;

/// The most services of a bundle.
const SERVICE_LIMIT: usize = 4_096;

/// The sections of a bundle, as faults list them.
pub(crate) const SECTIONS: &str = "[bundle], [domain NAME], [service NAME], [signature]";

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
    let file = document.file().clone();
    let mut head = document.take("bundle")?;
    let version = head.required("version", value::number(1..=u64::MAX - 1))?;
    let force = head.or("force", false, value::yes_no)?;
    head.finish()?;
    let mut domains = Vec::new();
    for section in document.take_all("domain") {
        domains.push(read_domain(section)?);
    }
    let mut services = Vec::new();
    for section in document.take_all("service") {
        services.push(read_service(section, &domains)?);
    }
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let bundle = Bundle {
        version,
        force,
        domains,
        services,
    };
    check(&file, &bundle)?;
    Ok(bundle)
}

fn read_domain(mut section: Section) -> Result<Domain> {
    let name = label(&section)?;
    let region = section.required("region", value::name)?;
    let states = [("in", false), ("out", true)];
    let out = section.or("state", false, value::one_of(&states))?;
    section.finish()?;
    Ok(Domain { name, region, out })
}

fn read_service(mut section: Section, domains: &[Domain]) -> Result<Service> {
    let name = label(&section)?;
    let addresses = section.required("addresses", value::list(value::address))?;
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
        value::duration(deadline_range),
    )?;
    section.finish()?;
    Ok(Service {
        name,
        addresses: sorted(addresses),
        protocol,
        domains,
        slots,
        cold,
        connections,
        queue,
        deadline,
    })
}

fn sorted(mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    addresses.sort();
    addresses
}

fn label(section: &Section) -> Result<SmolStr> {
    let label = section.label();
    let read = value::name::<SmolStr>(label);
    Ok(read.map_err(|allowed| section.rejects("NAME", label, &allowed))?)
}

fn known_domain(item: &str, domains: &[Domain]) -> value::Result<SmolStr> {
    if domains.iter().any(|d| d.name == item) {
        return Ok(item.into());
    }
    let known: Vec<&str> = domains.iter().map(|d| d.name.as_str()).collect();
    Err(format!("one of {}", known.join(", ")))
}

fn check(file: &SmolStr, bundle: &Bundle) -> Result<()> {
    check_count(file, "failure domains", bundle.domains.len(), DOMAIN_LIMIT)?;
    check_count(file, "services", bundle.services.len(), SERVICE_LIMIT)?;
    check_addresses(file, bundle)?;
    check_domains(file, bundle)
}

fn check_count(file: &SmolStr, what: &'static str, count: usize, limit: usize) -> Result<()> {
    if count <= limit {
        return Ok(());
    }
    Err(Fault::TooMany {
        file: file.clone(),
        what,
        count,
        limit,
    })
}

fn check_addresses(file: &SmolStr, bundle: &Bundle) -> Result<()> {
    let mut seen: Vec<(SocketAddr, &SmolStr)> = Vec::new();
    for service in &bundle.services {
        seen.extend(service.addresses.iter().map(|a| (*a, &service.name)));
    }
    seen.sort();
    for pair in seen.windows(2) {
        if pair[0].0 == pair[1].0 {
            return Err(Fault::AddressTaken {
                file: file.clone(),
                address: pair[0].0,
                first: pair[0].1.clone(),
                second: pair[1].1.clone(),
            });
        }
    }
    Ok(())
}

fn check_domains(file: &SmolStr, bundle: &Bundle) -> Result<()> {
    if bundle.force {
        return Ok(());
    }
    for service in &bundle.services {
        if service.domains.iter().all(|d| bundle.is_out(d)) {
            return Err(Fault::NoDomainLeft {
                file: file.clone(),
                service: service.name.clone(),
            });
        }
    }
    Ok(())
}
