//! The command-line arguments of the client.

use std::path::PathBuf;

use gumdrop::Options;

/// buckthornweir: the operators' command-line client.
///
/// Exit codes: 0 done, 2 bad input, 3 conflict, 4 not reachable or no quorum, 5 outcome unknown, 6 no
/// service at the address, 7 the process places no flows, 8 the process is too old.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this text, or that of a command")]
    pub(crate) help: bool,
    #[options(
        no_short,
        meta = "FILE",
        default = "client.ini",
        help = "the client's settings: nodes, key, signing-key"
    )]
    pub(crate) settings: PathBuf,
    #[options(no_short, help = "print JSON for scripts")]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check, sign or compare bundles; generate signing keys")]
    Bundle(BundleArguments),
    #[options(help = "put a signed bundle in force on every process")]
    Push(PushArguments),
    #[options(help = "show the status of every process")]
    Status(NoArguments),
    #[options(help = "show the members as one process sees them")]
    Members(NoArguments),
    #[options(help = "take a failure domain out, or bring it back")]
    Domain(DomainArguments),
    #[options(help = "list the control processes, or make one change to them")]
    Control(ControlArguments),
    #[options(help = "make an agent accept no new work")]
    Drain(DrainArguments),
    #[options(help = "merge the events of all processes into one timeline")]
    Timeline(TimelineArguments),
    #[options(help = "print the metrics of one process")]
    Metrics(MetricsArguments),
    #[options(help = "explain where a caller's request would go, without sending it")]
    Explain(ExplainArguments),
}

#[derive(Debug, Options)]
pub(crate) struct NoArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct BundleArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<BundleCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum BundleCommand {
    #[options(help = "check a bundle and print its digest")]
    Check(FileArguments),
    #[options(help = "generate a signing key and print its public key")]
    Keygen(FileArguments),
    #[options(help = "sign a bundle and print the signed text")]
    Sign(FileArguments),
    #[options(
        help = "show the differences between two bundles, or between the one in force and a new one"
    )]
    Diff(DiffArguments),
    #[options(help = "print the bundle in force")]
    Show(NoArguments),
}

#[derive(Debug, Options)]
pub(crate) struct FileArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the file")]
    pub(crate) file: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct DiffArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the new bundle, or the old one when two are given")]
    pub(crate) first: Option<PathBuf>,
    #[options(free, help = "the new bundle")]
    pub(crate) second: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct PushArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the signed bundle")]
    pub(crate) file: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct DomainArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<DomainCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum DomainCommand {
    #[options(help = "take the failure domain out: flows that end there are abandoned")]
    Out(NameArguments),
    #[options(help = "bring the failure domain back")]
    Back(NameArguments),
}

#[derive(Debug, Options)]
pub(crate) struct NameArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the name")]
    pub(crate) name: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ControlArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ControlCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ControlCommand {
    #[options(help = "list the control processes")]
    List(NoArguments),
    #[options(help = "promote a learner that has caught up to voter")]
    Promote(IdArguments),
    #[options(help = "replace a member by a learner")]
    Replace(ReplaceArguments),
    #[options(help = "remove a member")]
    Remove(IdArguments),
}

#[derive(Debug, Options)]
pub(crate) struct IdArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the identity, as control list shows it")]
    pub(crate) id: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ReplaceArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the identity of the member to replace")]
    pub(crate) id: Option<String>,
    #[options(free, help = "the identity of the learner that replaces it")]
    pub(crate) by: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct DrainArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the agent's name")]
    pub(crate) name: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct TimelineArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(
        no_short,
        meta = "TIME",
        help = "only events of the last length of time, such as 10m"
    )]
    pub(crate) since: Option<String>,
    #[options(
        no_short,
        meta = "KIND",
        help = "only events of this kind, such as domain-out"
    )]
    pub(crate) kind: Option<String>,
    #[options(no_short, meta = "ID", help = "only events about this flow or request")]
    pub(crate) follow: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct MetricsArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(
        free,
        help = "the process's name; default: the first process that replies"
    )]
    pub(crate) name: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ExplainArguments {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(free, help = "the caller's address and port")]
    pub(crate) caller: Option<String>,
    #[options(free, help = "the address and port that the caller connects to")]
    pub(crate) service: Option<String>,
    #[options(
        free,
        help = "the name of the balancer to ask; default: the first process that replies"
    )]
    pub(crate) name: Option<String>,
    #[options(
        no_short,
        meta = "yes|no",
        help = "whether the request's method is idempotent"
    )]
    pub(crate) idempotent: Option<String>,
    #[options(no_short, meta = "KEY", help = "the request's Idempotency-Key")]
    pub(crate) key: Option<String>,
}
