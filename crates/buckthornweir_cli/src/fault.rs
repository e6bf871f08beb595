//! Why a command fails, and the exit code that says so.

use std::io;
use std::process::ExitCode;

use buckthornweir_wire::WireError;
use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Fault>;

/// The exit codes of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: the command did what it says.
    Done,
    /// 2: arguments, a file or a bundle are refused.
    BadInput,
    /// 3: the version is held by another bundle, or a higher one is in force.
    Conflict,
    /// 4: no process answers, or no quorum can be reached; nothing was changed.
    Unreachable,
    /// 5: whether the command took effect is not known; sending it again is safe.
    Unknown,
}

impl Exit {
    /// Returns the number.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::BadInput => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

quick_error! {
    /// A command that fails.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum Fault {
        /// No command was given.
        NoCommand {
            display("no command; see --help")
        }
        /// An argument is missing.
        MissingArgument { argument: &'static str, command: &'static str } {
            display("{command}: {argument} is missing; see {command} --help")
        }
        /// A file cannot be read or written.
        File { path: SmolStr, source: io::Error } {
            display("{path}: {source}")
            source(source)
        }
        /// The client's settings are refused.
        Settings(source: buckthornweir_settings::Fault) {
            from()
            display("{source}")
            source(source)
        }
        /// A bundle is refused.
        Bundle(source: buckthornweir_bundle::Fault) {
            from()
            display("{source}")
            source(source)
        }
        /// A key file does not hold a key.
        KeyFile { path: SmolStr } {
            display("{path}: holds no key; allowed: 64 hexadecimal digits on one line")
        }
        /// A file that would be replaced.
        Exists { path: SmolStr } {
            display("{path}: exists already; a key is never replaced")
        }
        /// A length of time is not understood.
        Time { text: SmolStr } {
            display("\"{text}\" is not a length of time; allowed: such as 10m or 2h")
        }
        /// There is no such kind of event.
        NoKind { kind: SmolStr, known: SmolStr } {
            display("there is no event {kind}; allowed: {known}")
        }
        /// There is no such failure domain in the bundle.
        NoDomain { domain: SmolStr, known: SmolStr } {
            display("there is no failure domain {domain}; allowed: {known}")
        }
        /// There is no such process.
        NoMember { name: SmolStr } {
            display("there is no process called {name}; see members")
        }
        /// The process is not an agent.
        NotAgent { name: SmolStr } {
            display("{name} is not an agent; only agents drain")
        }
        /// No bundle is in force yet.
        NoBundle {
            display("no bundle is in force yet; push one first")
        }
        /// The push was refused as invalid.
        Refused { fault: String } {
            display("the bundle was refused: {fault}")
        }
        /// Another bundle holds the version.
        Conflict { version: u64, winner: SmolStr } {
            display("version {version} is held by another bundle, with digest {winner}; \
                     nothing was changed")
        }
        /// A higher version is in force.
        Stale { newest: u64 } {
            display("version {newest} is in force already; \
                     nothing was changed; push a higher version")
        }
        /// No process answered.
        Unreachable { tried: SmolStr, source: WireError } {
            display("no process answers; tried {tried}: {source}")
            source(source)
        }
        /// No control process with a quorum answered.
        NoQuorum {
            display("no control process with a quorum can be reached; nothing was changed")
        }
        /// A text is not an identity.
        Identity { text: SmolStr } {
            display("\"{text}\" is not an identity; allowed: 16 hexadecimal digits")
        }
        /// The control processes were not changed.
        NotChanged { fault: String } {
            display("the control processes were not changed: {fault}")
        }
        /// The answer was lost.
        AnswerLost {
            display("the answer was lost: whether the bundle is stored is not known; \
                     sending the same bundle again is safe")
        }
        /// The process answered something else.
        Answer {
            display("the process gave an answer that this version does not know")
        }
    }
}

impl Fault {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Conflict { .. } | Self::Stale { .. } => Exit::Conflict,
            Self::NotChanged { .. } | Self::Unreachable { .. } | Self::NoQuorum | Self::Answer => {
                Exit::Unreachable
            }
            Self::AnswerLost => Exit::Unknown,
            _ => Exit::BadInput,
        }
    }
}
