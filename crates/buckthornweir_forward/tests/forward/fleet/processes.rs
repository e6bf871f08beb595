//! Agents' processes with what they know of each other, and backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthornweir_forward::agent::{Agent, AgentConfig};
use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::segment::Segment;
use rand::RngExt;

use super::members::{Directory, Member, State, domain};
use super::model::{Event, Fleet, Process, Server, Vm};
use crate::common::{REPORT_PERIOD, packet_addr, reply, returned, syn_ack};

/// Clock of all VMs at the start, in milliseconds.
const START_MS: u64 = 1_000_000_000;
const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Interval at which a process compares its members with another one.
const SYNC_PERIOD: Duration = Duration::from_millis(500);

impl Fleet {
    /// Returns the clock of a VM in milliseconds.
    pub(super) fn clock(&self, vm: u8) -> u64 {
        let now = START_MS + self.now.as_millis() as u64;
        now.saturating_add_signed(self.vms[&vm].clock)
    }

    pub(super) fn add_vm(&mut self, vm: u8) {
        self.starts += 1;
        let node = u64::from(self.starts) * 1_000 + u64::from(vm);
        let vm_state = Vm {
            node,
            process: None,
            server: None,
            clock: 0,
            leaving: false,
        };
        self.vms.insert(vm, vm_state);
    }

    pub(super) fn start_server(&mut self, vm: u8) {
        if self.vms[&vm].server.is_some() {
            return;
        }
        self.starts += 1;
        let (start, born) = (self.starts, self.clock(vm));
        self.note(format!("backend server {start} starts at VM {vm}"));
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.server = Some(Server {
                start,
                born,
                sequence: 0,
                state: ReportState::Ready,
                flows: BTreeMap::new(),
                mute_until: Duration::ZERO,
            });
        }
        let delay = self.between(5, 60);
        self.push(delay, Event::Report { vm, start });
    }

    pub(super) fn start_agent(&mut self, vm: u8) {
        if !self.vms.contains_key(&vm) || self.vms[&vm].process.is_some() {
            return;
        }
        self.starts += 1;
        let instance = self.starts;
        let config = AgentConfig {
            node: self.vms[&vm].node,
            packet_addr: packet_addr(vm),
            domain: domain(vm).into(),
            service: "desk".into(),
            cold_bound: ColdBound {
                factor: 1.5,
                slack: 5.0,
            },
            report_period: REPORT_PERIOD,
            started_ms: self.clock(vm),
        };
        self.note(format!("agent {instance} starts at VM {vm}"));
        let process = Process {
            agent: Agent::new(config),
            directory: Directory::default(),
            instance,
            started: self.now,
            accepts: false,
        };
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.process = Some(process);
        }
        self.announce(vm, State::Running);
        let (look, sync) = (self.between(0, 5), self.between(10, 150));
        self.push(look, Event::Look { vm, instance });
        self.push(sync, Event::Sync { vm, instance });
        self.push(TICK_PERIOD, Event::Tick { vm, instance });
    }

    /// Ends an agent's process as planned.
    pub(super) fn stop_agent(&mut self, vm: u8) {
        if self.vms[&vm].process.is_none() {
            return;
        }
        self.with_agent(vm, None, |agent, now, view, out| {
            agent.set_stopping(now, view, out);
        });
        let Some(process) = &self.vms[&vm].process else {
            return;
        };
        // An agent connects to its backend server to find out whether it is present.
        let left = !process.agent.backend().is_present();
        let state = match self.vms[&vm].server {
            Some(_) if !left => State::Stopped,
            _ => State::Left,
        };
        self.note(format!("agent at VM {vm} stops: {state:?}"));
        self.announce(vm, state);
        self.end_agent(vm);
    }

    /// Ends an agent's process. The other processes consider it dead after a while.
    pub(super) fn end_agent(&mut self, vm: u8) {
        let node = self.vms[&vm].node;
        let ended = self.vms.get_mut(&vm).and_then(|vm| vm.process.take());
        let Some(ended) = ended else {
            return;
        };
        let instance = ended.instance;
        for to in self.processes() {
            let delay = self.between(900, 2_000);
            self.push(delay, Event::Suspect { to, node, instance });
        }
    }

    /// Returns the VMs with a running agent, and 0 for the balancer.
    pub(super) fn processes(&self) -> Vec<u8> {
        let running = self.vms.iter().filter(|(_, vm)| vm.process.is_some());
        std::iter::once(0)
            .chain(running.map(|(vm, _)| *vm))
            .collect()
    }

    pub(super) fn process(&mut self, vm: u8) -> Option<&mut Process> {
        self.vms.get_mut(&vm)?.process.as_mut()
    }

    pub(super) fn process_time(&self, vm: u8) -> Duration {
        let process = self.vms.get(&vm).and_then(|vm| vm.process.as_ref());
        process.map_or(Duration::ZERO, |process| self.now - process.started)
    }

    pub(super) fn directory(&mut self, at: u8) -> Option<&mut Directory> {
        match at {
            0 => Some(&mut self.balancer),
            vm => self.process(vm).map(|process| &mut process.directory),
        }
    }

    /// Announces the state of an agent to all processes.
    pub(super) fn announce(&mut self, vm: u8, state: State) {
        self.versions += 1;
        let (node, version) = (self.vms[&vm].node, self.versions);
        let Some(process) = self.process(vm) else {
            return;
        };
        let member = Member {
            vm,
            node,
            instance: process.instance,
            version,
            accepts: process.accepts,
            state,
            dead: false,
        };
        process.directory.merge(&member);
        for to in self.processes() {
            let delay = match self.rng.random_range(0..100) {
                0..5 => self.between(150, 400),
                _ => self.between(2, 150),
            };
            self.push(
                delay,
                Event::Learn {
                    to,
                    member: member.clone(),
                },
            );
        }
    }

    /// Lets an agent that has just started connect to its backend server.
    pub(super) fn look(&mut self, vm: u8, instance: u32) {
        let present = self.vms.get(&vm).is_some_and(|vm| vm.server.is_some());
        let process = self.process(vm);
        let Some(process) = process.filter(|process| process.instance == instance) else {
            return;
        };
        if present {
            return process.agent.note_backend_at_start();
        }
        process.agent.note_backendless_start();
        self.note(format!("agent {instance} finds no backend server"));
    }

    pub(super) fn tick(&mut self, vm: u8, instance: u32) {
        if self
            .process(vm)
            .is_none_or(|process| process.instance != instance)
        {
            return;
        }
        self.with_agent(vm, None, Agent::tick);
        let plan = self.plan.clone();
        let now = self.process_time(vm);
        if let Some(process) = self.process(vm) {
            let accepts = process.agent.offer(now, &plan).accepts;
            if std::mem::replace(&mut process.accepts, accepts) != accepts {
                self.announce(vm, State::Running);
            }
        }
        let now = self.now;
        self.balancer.refresh(now);
        self.push(TICK_PERIOD, Event::Tick { vm, instance });
    }

    /// Exchanges members with another process.
    pub(super) fn sync(&mut self, vm: u8, instance: u32) {
        if self
            .process(vm)
            .is_none_or(|process| process.instance != instance)
        {
            return;
        }
        let others: Vec<u8> = self
            .processes()
            .into_iter()
            .filter(|other| *other != vm)
            .collect();
        let other = others[self.rng.random_range(0..others.len())];
        let members = |directory: &mut Directory| {
            let all = directory.members().cloned().collect::<Vec<_>>();
            (all, directory.synced)
        };
        let (theirs, synced) = self.directory(other).map(members).unwrap_or_default();
        let (ours, _) = self.directory(vm).map(members).unwrap_or_default();
        for (at, members) in [(vm, theirs), (other, ours)] {
            if let Some(directory) = self.directory(at) {
                members.iter().for_each(|member| directory.merge(member));
            }
        }
        if let Some(process) = self.process(vm) {
            process.directory.synced |= synced;
        }
        let period = match synced {
            true => SYNC_PERIOD,
            false => self.between(10, 100),
        };
        self.push(period, Event::Sync { vm, instance });
    }

    pub(super) fn report(&mut self, vm: u8, start: u32) {
        let now = self.now;
        let period = self.between(850, 1_050);
        let server = self.vms.get_mut(&vm).and_then(|vm| vm.server.as_mut());
        let Some(server) = server.filter(|server| server.start == start) else {
            return;
        };
        let mute = now < server.mute_until;
        server.sequence += 1;
        let report = Report {
            id: server.id().into(),
            born: server.born,
            sequence: server.sequence,
            state: server.state,
            cold: Duration::ZERO,
            slots: 50,
        };
        if !mute {
            self.with_agent(vm, None, |agent, now, _, out| {
                agent.report(now, report, out);
            });
        }
        let retry = self.process(vm).is_none();
        self.push(
            if retry { period / 4 } else { period },
            Event::Report { vm, start },
        );
    }

    /// Handles a packet at a backend server.
    pub(super) fn serve(&mut self, vm: u8, segment: Segment) {
        let port = segment.source.port();
        if !segment.syn {
            self.note_arrival(port, vm);
        }
        let sequence = self.rng.random();
        let server = self.vms.get_mut(&vm).and_then(|vm| vm.server.as_mut());
        let Some(server) = server else {
            return;
        };
        let answer = if segment.syn {
            let (sequence, _) = *server.flows.entry(port).or_insert((sequence, false));
            Some(Segment {
                sequence,
                ..syn_ack(port)
            })
        } else {
            let flow = server.flows.get_mut(&port);
            let holds = |(sequence, _): &(u32, bool)| {
                segment.acknowledged.wrapping_sub(*sequence) < 1 << 16
            };
            match flow.filter(|flow| holds(flow)) {
                Some(flow) => {
                    flow.1 = true;
                    let sequence = segment.acknowledged;
                    (segment.length > 0).then(|| Segment {
                        sequence,
                        ..reply(port, 500)
                    })
                }
                None => Some(returned(segment)),
            }
        };
        if let Some(segment) = answer {
            let delay = self.between(0, 6);
            self.push(delay, Event::FromServer { vm, segment });
        }
    }
}
