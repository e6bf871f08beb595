//! Test harness that runs members in one process, with in-memory disks and a message queue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use buckthornweir_quorum::messages::Message;
use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::{MembershipPolicy, NodeId, Term, Token, Version};

use crate::disk::FakeDisk;

/// Number of lines that all test bundles have in common.
const BUNDLE_LINES: usize = 80;

pub(crate) const STEP: Duration = Duration::from_millis(100);

/// The policy for the member changes of [`Harness::change_by_policy`].
const POLICY: MembershipPolicy = MembershipPolicy {
    min_voters: 5,
    timeout: Duration::from_millis(2_500),
};

/// Returns how many copies of a message are delivered.
pub(crate) type CopyCount = Box<dyn FnMut(&Message) -> usize>;

/// Alters a message when it is sent.
pub(crate) type AlterMessage = Box<dyn FnMut(&mut Message)>;

/// One control VM.
pub(crate) struct Vm {
    pub(crate) address: String,
    pub(crate) disk: FakeDisk,
    pub(crate) core: Option<Core>,
    pub(crate) storage: Option<Storage>,
    pub(crate) id: NodeId,
}

/// All control VMs, the messages in flight, and the results that are checked after each action.
#[derive(Default)]
pub(crate) struct Harness {
    pub(crate) now: Duration,
    pub(crate) vms: Vec<Vm>,
    pub(crate) queue: VecDeque<(NodeId, NodeId, Message)>,
    /// Positions of VMs that are partitioned from all others.
    pub(crate) isolated: BTreeSet<usize>,
    /// Blocked directions, from the position of one VM to that of another.
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    /// Returns how many copies of a message are delivered; one if not set.
    pub(crate) copies: Option<CopyCount>,
    /// Alters messages when they are sent.
    pub(crate) alter: Option<AlterMessage>,
    pub(crate) answers: BTreeMap<Token, Vec<Answer>>,
    pub(crate) leaders: BTreeMap<Term, NodeId>,
    pub(crate) accepted: BTreeMap<Version, [u8; 32]>,
    pub(crate) regressed: Vec<NodeId>,
    pub(crate) config: Config,
    /// Whether a process whose disk fails goes on and keeps what it wrote, in place of a power loss.
    pub(crate) keeps_writes: bool,
    next_id: NodeId,
}

/// Outcome of a proposal, a member change or a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Answer {
    Push(PushResult),
    Changed,
    Ready,
    Rejected(Reject),
}

/// Returns a bundle that differs from other variants in one line, so that it can be sent as a
/// difference.
pub(crate) fn bundle(version: Version, variant: u8) -> Bundle {
    let lines = (0..BUNDLE_LINES).map(|line| format!("line {line}\n"));
    let text = format!("mark = {variant}\n") + &lines.collect::<String>();
    Bundle {
        version,
        digest: [variant; 32],
        bytes: text.into_bytes(),
    }
}

pub(crate) fn push(version: Version, variant: u8) -> Command {
    Command::Push(bundle(version, variant))
}

impl Harness {
    /// Creates `count` VMs with a founded log and no leader yet.
    pub(crate) fn founded(count: usize) -> Self {
        Self::with_config(count, Config::default())
    }

    pub(crate) fn with_config(count: usize, config: Config) -> Self {
        let mut harness = Self {
            config,
            ..Self::default()
        };
        for _ in 0..count {
            harness.add_vm();
        }
        let members = harness
            .vms
            .iter()
            .map(|vm| Member::voter(vm.id, vm.address.as_str()));
        let members = Members::new(members);
        let founding = Founding {
            cluster: 77,
            members,
            floor: 0,
        };
        harness.act(0, |core, now| core.found(now, founding));
        harness
    }

    /// Adds a VM with an empty data folder; returns its position.
    pub(crate) fn add_vm(&mut self) -> usize {
        let at = self.vms.len();
        let address = format!("192.0.2.{}:7000", at + 1);
        let disk = FakeDisk::default();
        self.vms.push(Vm {
            address,
            disk,
            core: None,
            storage: None,
            id: 0,
        });
        self.start(at);
        at
    }

    /// Starts the process of a VM; returns whether its data folder could be opened.
    pub(crate) fn start(&mut self, at: usize) -> bool {
        self.next_id += 1;
        let new_id = self.next_id;
        let vm = &mut self.vms[at];
        let Ok((storage, restored)) = Storage::open_on(Box::new(vm.disk.clone()), new_id) else {
            return false;
        };
        vm.id = restored.id;
        let config = self.config.clone().with_address(vm.address.as_str());
        vm.core = Some(Core::new(config, restored, 1000 + new_id, self.now));
        vm.storage = Some(storage);
        true
    }

    /// Kills the process of a VM; unsynced data is lost.
    pub(crate) fn kill(&mut self, at: usize) {
        self.vms[at].core = None;
        self.vms[at].storage = None;
        self.vms[at].disk.crash(|_| 0);
    }

    /// Closes the log of a VM whose process goes on.
    fn close(&mut self, at: usize) {
        self.vms[at].core = None;
        self.vms[at].storage = None;
        self.vms[at].disk.restart_process();
    }

    pub(crate) fn restart(&mut self, at: usize) {
        self.kill(at);
        assert!(self.start(at));
    }

    /// Empties the disk of a VM, starts the VM and makes it join through `via`.
    pub(crate) fn lose_disk(&mut self, at: usize, via: usize) {
        self.kill(at);
        self.vms[at].disk.wipe();
        assert!(self.start(at));
        self.join(at, via);
    }

    pub(crate) fn join(&mut self, at: usize, via: usize) {
        let via = self.vms[via].id;
        self.act(at, |core, now| core.join(now, via));
    }

    pub(crate) fn core(&self, at: usize) -> &Core {
        self.vms[at].core.as_ref().expect("running VM")
    }

    /// Calls the core of a VM and carries out its actions.
    pub(crate) fn act(&mut self, at: usize, call: impl FnOnce(&mut Core, Duration) -> Vec<Action>) {
        let now = self.now;
        let Some(core) = self.vms[at].core.as_mut() else {
            return;
        };
        let actions = call(core, now);
        for action in actions {
            if !self.carry_out(at, action) {
                match self.keeps_writes {
                    true => self.close(at),
                    false => self.kill(at),
                }
                return;
            }
        }
        self.check(at);
    }

    fn carry_out(&mut self, at: usize, action: Action) -> bool {
        let vm = &mut self.vms[at];
        match action {
            Action::Persist(records) => {
                return vm
                    .storage
                    .as_mut()
                    .is_some_and(|s| s.persist(&records).is_ok());
            }
            Action::Send { to, message } => {
                let from = vm.id;
                let data = message.to_bytes();
                let mut message = Message::from_bytes(data).expect("well-formed message");
                if let Some(alter) = &mut self.alter {
                    alter(&mut message);
                }
                self.queue.push_back((from, to, message));
            }
            Action::Applied {
                index: _,
                token,
                result,
            } => {
                if let Some(token) = token {
                    self.answer(token, Answer::Push(result));
                }
            }
            Action::MembersChanged {
                token: Some(token), ..
            } => self.answer(token, Answer::Changed),
            Action::ReadReady { token, .. } => self.answer(token, Answer::Ready),
            Action::Rejected { token, reason } => self.answer(token, Answer::Rejected(reason)),
            Action::RoleChanged {
                role: Role::Leader,
                term,
                ..
            } => {
                let first = *self.leaders.entry(term).or_insert(vm.id);
                assert_eq!(first, vm.id, "two leaders in term {term}");
            }
            Action::Regressed { id } => self.regressed.push(id),
            Action::MembersChanged { .. }
            | Action::RoleChanged { .. }
            | Action::Installed { .. } => {}
        }
        true
    }

    fn answer(&mut self, token: Token, answer: Answer) {
        self.answers.entry(token).or_default().push(answer);
    }

    /// Asserts that the accepted bundles of a VM agree with those accepted at any VM before.
    fn check(&mut self, at: usize) {
        let Some(core) = self.vms[at].core.as_ref() else {
            return;
        };
        for (version, digest) in core.bundles().history() {
            let first = *self.accepted.entry(version).or_insert(digest);
            assert_eq!(first, digest, "two bundles under version {version}");
        }
    }

    /// Delivers messages until the queue is empty.
    pub(crate) fn deliver(&mut self) {
        let mut budget = 100_000;
        while let Some((from, to, message)) = self.queue.pop_front() {
            budget -= 1;
            assert!(budget > 0, "messages do not stop");
            let copies = self.copies.as_mut().map_or(1, |copies| copies(&message));
            for _ in 0..copies {
                self.deliver_one(from, to, message.clone());
            }
        }
    }

    fn deliver_one(&mut self, from: NodeId, to: NodeId, message: Message) {
        let find = |id| {
            self.vms
                .iter()
                .position(|vm| vm.id == id && vm.core.is_some())
        };
        let (Some(source), Some(target)) = (find(from), find(to)) else {
            return;
        };
        let open = !self.blocked_links.contains(&(source, target));
        if open && !self.isolated.contains(&source) && !self.isolated.contains(&target) {
            self.act(target, |core, now| core.handle(now, from, message));
        }
    }

    /// Lets VMs without a log report their presence to all others that they reach.
    fn report_presence(&mut self) {
        let blank = |at: &usize| {
            let core = self.vms[*at].core.as_ref();
            core.is_some_and(|core| core.cluster() == 0) && !self.isolated.contains(at)
        };
        for from in (0..self.vms.len()).filter(blank).collect::<Vec<_>>() {
            let vm = &self.vms[from];
            let presence = Presence {
                id: vm.id,
                address: vm.address.clone(),
                ..Presence::default()
            };
            for to in (0..self.vms.len()).filter(|to| !self.isolated.contains(to)) {
                let is_open = !self.blocked_links.contains(&(from, to));
                if let Some(core) = self.vms[to].core.as_mut().filter(|_| is_open) {
                    core.note_presence(self.now, &presence);
                }
            }
        }
    }

    /// Makes VMs without a log join through a VM that has one, as the daemon does.
    pub(crate) fn rejoin(&mut self) {
        self.report_presence();
        for at in 0..self.vms.len() {
            let has_log = |at: &usize| {
                let core = self.vms[*at].core.as_ref();
                !self.isolated.contains(at) && core.is_some_and(|core| core.cluster() != 0)
            };
            let blank = self.vms[at]
                .core
                .as_ref()
                .is_some_and(|core| core.cluster() == 0);
            let via = (0..self.vms.len()).find(has_log);
            if let Some(via) = via.filter(|_| blank) {
                self.join(at, via);
            }
        }
    }

    /// Makes the member change that a VM, if it leads, has to make next.
    pub(crate) fn change_by_policy(&mut self, at: usize) {
        self.act(at, |core, now| match core.next_member_change(now, POLICY) {
            Some(change) => core.change_members(now, 0, change),
            None => Vec::new(),
        });
    }

    /// Advances the time in steps, ticking all VMs and delivering their messages.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for at in 0..self.vms.len() {
                self.act(at, Core::tick);
                self.deliver();
            }
        }
    }

    /// Advances the time until there is a leader; returns its position.
    pub(crate) fn wait_for_leader(&mut self) -> usize {
        for _ in 0..200 {
            self.run(STEP);
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader");
    }

    /// Returns the position of the leader with the highest term among the VMs that are not
    /// isolated.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| {
            let core = self.vms[*at].core.as_ref();
            !self.isolated.contains(at) && core.is_some_and(|core| core.role() == Role::Leader)
        };
        let leaders = (0..self.vms.len()).filter(leads);
        leaders.max_by_key(|at| self.core(*at).term())
    }

    /// Proposes a command at a VM, delivers all messages, and returns the answers so far.
    pub(crate) fn push_at(&mut self, at: usize, token: Token, command: Command) -> Vec<Answer> {
        self.act(at, |core, now| core.propose(now, token, command));
        self.deliver();
        self.answers.get(&token).cloned().unwrap_or_default()
    }

    /// Pushes at the leader until the push is accepted, with at most 20 attempts.
    pub(crate) fn push_until_accepted(&mut self, version: Version, variant: u8) {
        let accepted = |a: &Answer| matches!(a, Answer::Push(r) if r.is_accepted());
        for _ in 0..20 {
            let leader = self.wait_for_leader();
            let answers = self.push_at(leader, 1_000_000 + version, push(version, variant));
            if answers.iter().any(accepted) {
                return;
            }
        }
        panic!("version {version} was not accepted");
    }

    pub(crate) fn newest_version(&self, at: usize) -> Version {
        self.core(at).bundles().newest_version()
    }

    /// Asserts that `version` is the newest version of all running VMs that are not isolated.
    pub(crate) fn assert_newest_version(&self, version: Version) {
        for at in (0..self.vms.len()).filter(|at| !self.isolated.contains(at)) {
            if self.vms[at].core.is_some() {
                assert_eq!(self.newest_version(at), version, "VM {at}");
            }
        }
    }
}
