//! The arguments of the client.

use std::path::PathBuf;

use gumdrop::Options;

/// buckthornweir: the operators' client.
///
/// Exit codes: 0 done, 2 bad input, 3 conflict, 4 not reachable or no quorum, 5 outcome unknown.
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
    #[options(help = "check, sign or compare bundles; make signing keys")]
    Bundle(BundleArguments),
    #[options(help = "put a signed bundle in force everywhere")]
    Push(PushArguments),
    #[options(help = "show how every process stands")]
    Status(NoArguments),
    #[options(help = "show the members as one process sees them")]
    Members(NoArguments),
    #[options(help = "take a failure domain out, or back in")]
    Domain(DomainArguments),
    #[options(help = "list the control processes, or change them by one step")]
    Control(ControlArguments),
    #[options(help = "let an agent take no new work")]
    Drain(DrainArguments),
    #[options(help = "merge the events of all processes into one time line")]
    Timeline(TimelineArguments),
    #[options(help = "print the metrics of one process")]
    Metrics(MetricsArguments),
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
    #[options(help = "make a signing key and print its public key")]
    Keygen(FileArguments),
    #[options(help = "sign a bundle off; prints the signed text")]
    Sign(FileArguments),
    #[options(help = "show what changes from one bundle to another, or from the one in force")]
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
    #[options(help = "take the failure domain out: flows that end there are given up")]
    Out(NameArguments),
    #[options(help = "take the failure domain back in")]
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
    #[options(help = "let a learner that has caught up vote")]
    Promote(IdArguments),
    #[options(help = "let a learner take the place of another member")]
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
    #[options(free, help = "the identity of the member that goes")]
    pub(crate) id: Option<String>,
    #[options(free, help = "the identity of the learner that comes")]
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
        help = "only the last length of time, such as 10m"
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
        help = "the process's name; without it, the first one that answers"
    )]
    pub(crate) name: Option<String>,
}
