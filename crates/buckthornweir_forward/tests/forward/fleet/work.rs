//! Changes of a fleet, drawn from a seed: planned work, and failures for some seeds.

use std::time::Duration;

use buckthornweir_forward::backend::ReportState;
use rand::RngExt;

use super::model::{BUSY_TIME, Event, Fleet};
use crate::common::ms;

/// Maximum number of VMs.
const MAX_VMS: u8 = 6;

/// One step of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Work {
    StartAgent(u8),
    StopAgent(u8),
    KillAgent(u8),
    StartServer(u8),
    /// The backend server announces that it leaves.
    Drain(u8),
    /// The backend server ends; a planned end is announced.
    EndServer(u8, bool),
    /// The VM is taken away after its agent has stopped.
    RemoveVm(u8),
}

impl Fleet {
    /// Begins a random change and schedules the next one. Changes overlap.
    pub(super) fn change(&mut self) {
        if self.now > BUSY_TIME {
            return;
        }
        let pause = match self.rng.random_range(0..4) {
            0 => self.between(5, 100),
            _ => self.between(100, 1_500),
        };
        self.push(pause, Event::Change);
        let vms: Vec<u8> = self.vms.keys().copied().collect();
        let vm = vms[self.rng.random_range(0..vms.len())];
        let draws = if self.unplanned { 0..100 } else { 0..80 };
        match self.rng.random_range(draws) {
            0..35 => self.roll(vm),
            35..50 => self.add(),
            50..60 => self.remove(vm),
            60..70 => self.release(vm),
            70..75 => {
                let stall = self.between(500, 5_000);
                let until = self.now + stall;
                let server = self.vms.get_mut(&vm).and_then(|vm| vm.server.as_mut());
                if let Some(server) = server {
                    server.mute_until = until;
                    self.note(format!("no reports at VM {vm} for {stall:.0?}"));
                }
            }
            75..80 => {
                // The roll of all agents, one after the other.
                let gap = self.between(200, 1_500);
                for (turn, vm) in (0..).zip(vms) {
                    self.push(gap * turn, Event::Work(Work::StopAgent(vm)));
                    self.push(gap * turn + ms(500), Event::Work(Work::StartAgent(vm)));
                }
            }
            80..85 => {
                let ahead = self.rng.random_range(-10_000..=10_000);
                if let Some(vm) = self.vms.get_mut(&vm) {
                    vm.clock += ahead;
                }
                self.note(format!("the clock of VM {vm} is set by {ahead} ms"));
            }
            85..92 => {
                let down = self.between(300, 800);
                self.push(Duration::ZERO, Event::Work(Work::KillAgent(vm)));
                self.push(down, Event::Work(Work::StartAgent(vm)));
            }
            _ => {
                let down = self.between(50, 3_000);
                self.push(Duration::ZERO, Event::Work(Work::EndServer(vm, false)));
                self.push(down, Event::Work(Work::StartServer(vm)));
            }
        }
    }

    fn roll(&mut self, vm: u8) {
        let down = match self.rng.random_range(0..10) {
            0 => self.between(1_500, 6_500),
            _ => self.between(100, 1_500),
        };
        self.push(Duration::ZERO, Event::Work(Work::StopAgent(vm)));
        self.push(down, Event::Work(Work::StartAgent(vm)));
    }

    /// Adds a VM, possibly at the address of an earlier one. Its backend server starts later.
    fn add(&mut self) {
        let Some(vm) = (1..=MAX_VMS).find(|vm| !self.vms.contains_key(vm)) else {
            return;
        };
        self.add_vm(vm);
        self.start_agent(vm);
        let later = self.between(0, 6_000);
        self.push(later, Event::Work(Work::StartServer(vm)));
    }

    fn remove(&mut self, vm: u8) {
        let staying = self.vms.values().filter(|vm| !vm.leaving);
        if staying.count() <= 2 {
            return;
        }
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.leaving = true;
        }
        let drained = self.between(500, 2_000);
        self.push(Duration::ZERO, Event::Work(Work::Drain(vm)));
        self.push(drained, Event::Work(Work::EndServer(vm, true)));
        self.push(drained + ms(100), Event::Work(Work::StopAgent(vm)));
        self.push(drained + ms(200), Event::Work(Work::RemoveVm(vm)));
    }

    /// Replaces a backend server.
    fn release(&mut self, vm: u8) {
        let drained = self.between(500, 2_000);
        let down = self.between(50, 2_000);
        self.push(Duration::ZERO, Event::Work(Work::Drain(vm)));
        self.push(drained, Event::Work(Work::EndServer(vm, true)));
        self.push(drained + down, Event::Work(Work::StartServer(vm)));
    }

    fn end_server(&mut self, vm: u8, planned: bool) {
        let Some(state) = self.vms.get_mut(&vm) else {
            return;
        };
        let Some(server) = state.server.take() else {
            return;
        };
        let id = server.id();
        if let Some(process) = state.process.as_mut().filter(|_| planned) {
            process.agent.note_left(&id);
        }
        self.note(format!("backend server {id} ends at VM {vm}"));
    }

    pub(super) fn begin(&mut self, work: Work) {
        match work {
            Work::StartAgent(vm) => self.start_agent(vm),
            Work::StopAgent(vm) if self.vms.contains_key(&vm) => self.stop_agent(vm),
            Work::KillAgent(vm) if self.vms.contains_key(&vm) => {
                self.note(format!("agent at VM {vm} is killed"));
                self.end_agent(vm);
            }
            Work::StartServer(vm) => {
                if self.vms.get(&vm).is_some_and(|vm| !vm.leaving) {
                    self.start_server(vm);
                }
            }
            Work::Drain(vm) => {
                let server = self.vms.get_mut(&vm).and_then(|vm| vm.server.as_mut());
                if let Some(server) = server {
                    server.state = ReportState::Draining;
                }
            }
            Work::EndServer(vm, planned) => self.end_server(vm, planned),
            Work::RemoveVm(vm) => {
                if self.vms.get(&vm).is_some_and(|vm| vm.process.is_none()) {
                    self.vms.remove(&vm);
                    self.note(format!("VM {vm} is removed"));
                }
            }
            Work::StopAgent(_) | Work::KillAgent(_) => {}
        }
    }
}
