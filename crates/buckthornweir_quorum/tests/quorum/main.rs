//! Tests of the replicated log, with members, disks and messages simulated in one process.

mod changes;
mod commands;
mod crashes;
mod differences;
mod disk;
mod faults;
mod founding;
mod full_disks;
mod harness;
mod lost_disks;
mod membership;
mod properties;
mod replication;
mod safety;
mod search;
