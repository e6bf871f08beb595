//! Conversion between typed messages and their wire format.

use std::net::{IpAddr, SocketAddr};

use prost::Message as _;

use super::{
    Body, Header, MAX_DATAGRAM_BYTES, MAX_ENTRIES, Message, MessageError, Profile, RecordVersion,
    Result, Rumour, wire,
};
use crate::record::{check_incarnation, check_text, check_weight};
use crate::{BundleStamp, Health, MemberState, Roles};

impl Message {
    /// Returns the encoded message.
    pub fn encode(&self) -> Vec<u8> {
        self.to_wire().encode_to_vec()
    }

    /// Returns the length of the encoded message in bytes.
    pub fn encoded_len(&self) -> usize {
        self.to_wire().encoded_len()
    }

    /// Decodes and validates a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram is too large, malformed or contains an invalid value.
    pub fn decode(datagram: &[u8]) -> Result<Self> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(MessageError::TooLarge(datagram.len()));
        }
        let datagram = wire::Datagram::decode(datagram)?;
        check_entries("rumours", datagram.rumours.len())?;
        check_entries("deaths", datagram.deaths.len())?;
        check_entries("refutations", datagram.refutations.len())?;
        let header = datagram.header.ok_or(MessageError::Missing("header"))?;
        let body = datagram.body.ok_or(MessageError::Missing("body"))?;
        Ok(Self {
            header: read_header(&header)?,
            rumours: datagram
                .rumours
                .iter()
                .map(read_rumour)
                .collect::<Result<_>>()?,
            deaths: datagram.deaths,
            refutations: datagram.refutations,
            body: read_body(body)?,
        })
    }

    fn to_wire(&self) -> wire::Datagram {
        wire::Datagram {
            header: Some(write_header(&self.header)),
            rumours: self.rumours.iter().map(write_rumour).collect(),
            body: Some(write_body(&self.body)),
            deaths: self.deaths.clone(),
            refutations: self.refutations.clone(),
        }
    }
}

impl Rumour {
    /// Returns the length in bytes that the rumour adds to an encoded message.
    pub(crate) fn encoded_len(&self) -> usize {
        let length = write_rumour(self).encoded_len();
        length + prost::length_delimiter_len(length) + 1
    }
}

fn check_entries(field: &'static str, entries: usize) -> Result<()> {
    if entries > MAX_ENTRIES {
        return Err(MessageError::TooMany(field, entries));
    }
    Ok(())
}

fn pack_status(health: Health, state: MemberState, weight: u8) -> u32 {
    let health = match health {
        Health::Alive => 0,
        Health::Suspect => 1,
        Health::Dead => 2,
    };
    let state = match state {
        MemberState::Cold => 0,
        MemberState::Ready => 1,
        MemberState::Draining => 2,
        MemberState::Left => 3,
    };
    health | state << 2 | u32::from(weight) << 4
}

fn unpack_status(status: u32) -> Result<(Health, MemberState, u8)> {
    let health = match status & 3 {
        0 => Health::Alive,
        1 => Health::Suspect,
        2 => Health::Dead,
        other => return Err(MessageError::OutOfRange("health", u64::from(other))),
    };
    let state = match status >> 2 & 3 {
        0 => MemberState::Cold,
        1 => MemberState::Ready,
        2 => MemberState::Draining,
        _ => MemberState::Left,
    };
    let weight = status >> 4;
    check_weight(u64::from(weight))?;
    Ok((health, state, weight as u8))
}

fn write_header(header: &Header) -> wire::Header {
    let bundle = &header.bundle;
    wire::Header {
        node: header.node,
        instance: header.instance,
        incarnation: header.incarnation,
        status: pack_status(Health::Alive, header.state, header.weight),
        free: header.free,
        version: bundle.version,
        digest: if bundle.version == 0 {
            Vec::new()
        } else {
            bundle.digest.to_vec()
        },
        table: header.table,
    }
}

fn read_header(header: &wire::Header) -> Result<Header> {
    check_incarnation(header.incarnation)?;
    let (_, state, weight) = unpack_status(header.status)?;
    Ok(Header {
        node: header.node,
        instance: header.instance,
        incarnation: header.incarnation,
        state,
        weight,
        free: header.free,
        bundle: read_stamp(header.version, &header.digest)?,
        table: header.table,
    })
}

fn read_stamp(version: u64, digest: &[u8]) -> Result<BundleStamp> {
    if version == 0 && digest.is_empty() {
        return Ok(BundleStamp::default());
    }
    let digest = digest
        .try_into()
        .map_err(|_| MessageError::WrongSize("digest", digest.len()))?;
    if version == 0 {
        return Err(MessageError::OutOfRange("version", version));
    }
    Ok(BundleStamp { version, digest })
}

fn write_rumour(rumour: &Rumour) -> wire::Rumour {
    wire::Rumour {
        node: rumour.node,
        instance: rumour.instance,
        incarnation: rumour.incarnation,
        status: pack_status(rumour.health, rumour.state, rumour.weight),
        free: rumour.free,
        profile: rumour.profile.as_ref().map(write_profile),
    }
}

fn read_rumour(rumour: &wire::Rumour) -> Result<Rumour> {
    check_incarnation(rumour.incarnation)?;
    let (health, state, weight) = unpack_status(rumour.status)?;
    Ok(Rumour {
        node: rumour.node,
        instance: rumour.instance,
        incarnation: rumour.incarnation,
        health,
        state,
        weight,
        free: rumour.free,
        profile: rumour.profile.as_ref().map(read_profile).transpose()?,
    })
}

fn write_profile(profile: &Profile) -> wire::Profile {
    wire::Profile {
        name: profile.name.to_string(),
        roles: u32::from(profile.roles.bits()),
        domain: profile.domain.to_string(),
        service: profile.service.to_string(),
        gossip: write_address(profile.gossip),
        flows: write_optional_address(profile.flows, profile.gossip),
        control: write_optional_address(profile.control, profile.gossip),
    }
}

fn read_profile(profile: &wire::Profile) -> Result<Profile> {
    for text in [&profile.name, &profile.domain, &profile.service] {
        check_text(text)?;
    }
    let roles = u8::try_from(profile.roles).ok().and_then(Roles::from_bits);
    let gossip = read_address("gossip", &profile.gossip)?;
    Ok(Profile {
        name: profile.name.as_str().into(),
        roles: roles.ok_or(MessageError::OutOfRange("roles", u64::from(profile.roles)))?,
        domain: profile.domain.as_str().into(),
        service: profile.service.as_str().into(),
        gossip,
        flows: read_optional_address("flows", &profile.flows, gossip)?,
        control: read_optional_address("control", &profile.control, gossip)?,
    })
}

fn write_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn write_optional_address(address: SocketAddr, gossip: SocketAddr) -> Vec<u8> {
    if address == gossip {
        Vec::new()
    } else {
        write_address(address)
    }
}

fn read_address(field: &'static str, bytes: &[u8]) -> Result<SocketAddr> {
    let wrong_size = || MessageError::WrongSize(field, bytes.len());
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(wrong_size)?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::from(octets)
    } else {
        IpAddr::from(<[u8; 16]>::try_from(ip).map_err(|_| wrong_size())?)
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn read_optional_address(
    field: &'static str,
    bytes: &[u8],
    gossip: SocketAddr,
) -> Result<SocketAddr> {
    if bytes.is_empty() {
        Ok(gossip)
    } else {
        read_address(field, bytes)
    }
}

fn write_body(body: &Body) -> wire::Body {
    match body {
        Body::Ping { sequence } => wire::Body::Ping(*sequence),
        Body::Ack { sequence } => wire::Body::Ack(*sequence),
        Body::IndirectPing { sequence, target } => wire::Body::IndirectPing(wire::Indirect {
            sequence: *sequence,
            target: *target,
            reached: false,
        }),
        Body::IndirectAck {
            sequence,
            target,
            reached,
        } => wire::Body::IndirectAck(wire::Indirect {
            sequence: *sequence,
            target: *target,
            reached: *reached,
        }),
        Body::Gossip => wire::Body::Gossip(true),
        Body::Want { nodes } => wire::Body::Want(wire::Want {
            nodes: nodes.clone(),
        }),
        Body::Digest { buckets } => wire::Body::Digest(wire::Digest {
            buckets: buckets.clone(),
        }),
        Body::Differ { buckets } => wire::Body::Differ(buckets.clone()),
        Body::Fetch {
            sequence,
            buckets,
            versions,
        } => wire::Body::Fetch(write_fetch(*sequence, buckets, versions)),
        Body::Chunk { sequence, more } => wire::Body::Chunk(wire::Chunk {
            sequence: *sequence,
            more: *more,
        }),
    }
}

fn write_fetch(sequence: u32, buckets: &[u8], versions: &[RecordVersion]) -> wire::Fetch {
    wire::Fetch {
        sequence,
        buckets: buckets.to_vec(),
        nodes: versions.iter().map(|entry| entry.node).collect(),
        incarnations: versions.iter().map(|entry| entry.incarnation).collect(),
        dead: versions.iter().map(|entry| entry.dead).collect(),
    }
}

fn read_body(body: wire::Body) -> Result<Body> {
    Ok(match body {
        wire::Body::Ping(sequence) => Body::Ping { sequence },
        wire::Body::Ack(sequence) => Body::Ack { sequence },
        wire::Body::IndirectPing(indirect) => Body::IndirectPing {
            sequence: indirect.sequence,
            target: indirect.target,
        },
        wire::Body::IndirectAck(indirect) => Body::IndirectAck {
            sequence: indirect.sequence,
            target: indirect.target,
            reached: indirect.reached,
        },
        wire::Body::Gossip(_) => Body::Gossip,
        wire::Body::Want(want) => {
            check_entries("nodes", want.nodes.len())?;
            Body::Want { nodes: want.nodes }
        }
        wire::Body::Digest(digest) => {
            check_entries("buckets", digest.buckets.len())?;
            Body::Digest {
                buckets: digest.buckets,
            }
        }
        wire::Body::Differ(buckets) => {
            check_entries("buckets", buckets.len())?;
            Body::Differ { buckets }
        }
        wire::Body::Fetch(fetch) => read_fetch(&fetch)?,
        wire::Body::Chunk(chunk) => Body::Chunk {
            sequence: chunk.sequence,
            more: chunk.more,
        },
    })
}

fn read_fetch(fetch: &wire::Fetch) -> Result<Body> {
    let entries = fetch.nodes.len();
    check_entries("nodes", entries)?;
    check_entries("buckets", fetch.buckets.len())?;
    if fetch.incarnations.len() != entries || fetch.dead.len() != entries {
        return Err(MessageError::Uneven("fetch"));
    }
    let columns = fetch.nodes.iter().zip(&fetch.incarnations).zip(&fetch.dead);
    let versions = columns
        .map(|((&node, &incarnation), &dead)| {
            check_incarnation(incarnation)?;
            Ok(RecordVersion {
                node,
                incarnation,
                dead,
            })
        })
        .collect::<Result<_>>()?;
    Ok(Body::Fetch {
        sequence: fetch.sequence,
        buckets: fetch.buckets.clone(),
        versions,
    })
}
