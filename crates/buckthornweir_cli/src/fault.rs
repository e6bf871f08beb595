//! The errors of commands and the exit codes of the client.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use buckthornweir_wire::WireError;
use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Fault>;

/// The exit codes of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: the command succeeded.
    Done,
    /// 2: an argument, a file or a bundle is invalid.
    BadInput,
    /// 3: another bundle has the version, or a higher version is in force.
    Conflict,
    /// 4: no process replies, or no quorum can be reached; nothing was changed.
    Unreachable,
    /// 5: it is not known whether the command took effect; repeating it is safe.
    Unknown,
    /// 6: no service has the address.
    NoService,
    /// 7: the process places no flows.
    NotBalancer,
    /// 8: the process runs a release that doesn't know the request.
    TooOld,
}

impl Exit {
    /// Returns the exit code as a number.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::BadInput => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
            Self::NoService => 6,
            Self::NotBalancer => 7,
            Self::TooOld => 8,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

quick_error! {
    /// The reason why a command failed.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error doesn't accept doc comments on fields")]
    pub enum Fault {
        /// No command was given.
        NoCommand {
            display("no command; see --help")
        }
        /// A required argument is missing.
        MissingArgument { argument: &'static str, command: &'static str } {
            display("{command}: {argument} is missing; see {command} --help")
        }
        /// A file can't be read or written.
        File { path: SmolStr, source: io::Error } {
            display("{path}: {source}")
            source(source)
        }
        /// The client's settings are invalid.
        Settings(source: buckthornweir_settings::Fault) {
            from()
            display("{source}")
            source(source)
        }
        /// A bundle is invalid, or its signature isn't trusted.
        Bundle(source: buckthornweir_bundle::Fault) {
            from()
            display("{source}")
            source(source)
        }
        /// A key file doesn't contain a key.
        KeyFile { path: SmolStr } {
            display("{path}: contains no key; allowed: 64 hexadecimal digits on one line")
        }
        /// A new key would overwrite an existing file.
        Exists { path: SmolStr } {
            display("{path}: already exists; key files are never overwritten")
        }
        /// A text is not a length of time.
        Time { text: SmolStr } {
            display("\"{text}\" is not a length of time; allowed: such as 10m or 2h")
        }
        /// No kind of event has this name.
        NoKind { kind: SmolStr, known: SmolStr } {
            display("there is no event {kind}; allowed: {known}")
        }
        /// The bundle has no failure domain with this name.
        NoDomain { domain: SmolStr, known: SmolStr } {
            display("there is no failure domain {domain}; allowed: {known}")
        }
        /// No member has this name.
        NoMember { name: SmolStr } {
            display("there is no process with the name {name}; see members")
        }
        /// The process is not an agent.
        NotAgent { name: SmolStr } {
            display("{name} is not an agent; only agents drain")
        }
        /// No bundle is in force yet.
        NoBundle {
            display("no bundle is in force yet; push one first")
        }
        /// The control process rejected the bundle as invalid.
        Refused { fault: String } {
            display("the bundle was refused: {fault}")
        }
        /// Another bundle has the version.
        Conflict { version: u64, winner: SmolStr } {
            display("version {version} is held by another bundle, with digest {winner}; \
                     nothing was changed")
        }
        /// A higher version is in force.
        Stale { newest: u64 } {
            display("version {newest} is already in force; \
                     nothing was changed; push a higher version")
        }
        /// No contacted process replied.
        Unreachable { tried: SmolStr, source: WireError } {
            display("no process answers; tried {tried}: {source}")
            source(source)
        }
        /// No control process with a quorum replied.
        NoQuorum {
            display("no control process with a quorum can be reached; nothing was changed")
        }
        /// A text is not the identity of a control process.
        Identity { text: SmolStr } {
            display("\"{text}\" is not an identity; allowed: 16 hexadecimal digits")
        }
        /// The change of the control processes was rejected.
        NotChanged { fault: String } {
            display("the control processes were not changed: {fault}")
        }
        /// No reply to a change of the control processes arrived, or none that says what became of it.
        ChangeUnknown {
            display("the reply was lost, so it is not known whether the control processes were \
                     changed; making the same change again is safe")
        }
        /// No reply to a push arrived, so it is not known whether the bundle is stored.
        ReplyLost {
            display("the reply was lost, so it is not known whether the bundle is stored; \
                     pushing the same bundle again is safe")
        }
        /// A text is not an address with a port.
        Address { text: SmolStr } {
            display("\"{text}\" is not an address with a port; \
                     allowed: such as 192.0.2.1:40000 or [2001:db8::1]:40000")
        }
        /// The caller and the service have addresses of different IP versions.
        IpVersions { caller: SocketAddr, service: SocketAddr } {
            display("{caller} and {service} are not of the same IP version, \
                     so no flow can be between them")
        }
        /// A text is neither yes nor no.
        YesNo { argument: &'static str, text: SmolStr } {
            display("{argument} \"{text}\" is not allowed; allowed: yes, no")
        }
        /// No service has the address.
        NoService { address: SocketAddr, process: SmolStr, version: u64 } {
            display("no service has the address {address} in bundle version {version} of {process}")
        }
        /// The process has no balancer role.
        NotBalancer { process: SmolStr } {
            display("{process} is not a balancer and places no flows; name a balancer, see members")
        }
        /// The process replies to other requests, but not to this one.
        TooOld { process: SmolStr } {
            display("{process} does not answer this request; its release is too old for it")
        }
        /// The reply isn't of the expected kind.
        Reply {
            display("the process sent a reply that this version does not support")
        }
    }
}

impl Fault {
    /// Returns the exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Conflict { .. } | Self::Stale { .. } => Exit::Conflict,
            Self::NotChanged { .. } | Self::Unreachable { .. } | Self::NoQuorum | Self::Reply => {
                Exit::Unreachable
            }
            Self::ReplyLost | Self::ChangeUnknown => Exit::Unknown,
            Self::NoService { .. } => Exit::NoService,
            Self::NotBalancer { .. } => Exit::NotBalancer,
            Self::TooOld { .. } => Exit::TooOld,
            _ => Exit::BadInput,
        }
    }
}
