//! Starts, kills and restarts the processes, as the platform does.

use std::fs::{self, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::record::Record;

/// The command of each role in the deploy file.
const PROGRAM: &str = "target/release/buckthornweir-platform";

/// The variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "BUCKTHORNWEIR_NODE_FILE";

/// Port of the operators' calls.
const CALLS: u16 = 8_166;

/// First port for messages between nodes.
const PEERS: u16 = 7_720;

/// Zones of the core machines of `ravi-badges`, and of the spare one, which replaces [`REPLACED`].
const ZONES: [&str; CORE + 1] = [
    "gulberg",
    "gulberg",
    "johar",
    "johar",
    "model-town",
    "gulberg",
];

/// Number of core machines of `ravi-badges`.
pub const CORE: usize = 5;

/// A machine that starts empty, at an address of its own.
pub const SPARE: usize = CORE;

/// The core machine that the spare one replaces in [`Fleet::replace_seed`].
pub const REPLACED: usize = 1;

/// The core machines of a deployment, on loopback addresses of their own.
pub struct Fleet<'a> {
    record: &'a Record,
    net: u8,
    folder: PathBuf,
    /// Core machines that the settings name as seeds.
    seeds: [usize; 3],
    children: Vec<Option<Child>>,
}

impl<'a> Fleet<'a> {
    /// Finds free addresses and creates a folder for settings, disks and logs.
    pub fn new(record: &'a Record) -> Result<Self, String> {
        if fs::metadata(PROGRAM).is_err() {
            return Err(format!("{PROGRAM} is not built"));
        }
        let first = std::process::id() as u8 % 100;
        let nets = (0..100).map(|turn| 20 + (first + turn) % 100);
        let net = nets
            .into_iter()
            .find(|net| is_free(*net))
            .ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Self {
            record,
            net,
            folder,
            seeds: [0, 1, 2],
            children: (0..=SPARE).map(|_| None).collect(),
        })
    }

    /// Returns the address of the operators' calls at a core machine.
    pub fn calls(&self, machine: usize) -> SocketAddr {
        (ip(self.net, machine), CALLS).into()
    }

    /// Returns the core machine with this address.
    pub fn at(&self, address: SocketAddr) -> Option<usize> {
        (0..=SPARE).find(|machine| self.calls(*machine) == address)
    }

    /// Starts the process of a core machine.
    pub fn start(&mut self, machine: usize, bootstrap: bool) -> Result<(), String> {
        let settings = self.write_settings(machine, bootstrap)?;
        let log = self.folder.join(format!("{machine}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.children[machine] = Some(child.map_err(|error| format!("{PROGRAM}: {error}"))?);
        self.record
            .line(&format!("core {machine} starts, bootstrap = {bootstrap}"));
        Ok(())
    }

    /// Names the spare machine as a seed in place of [`REPLACED`] in the settings of all processes that
    /// run, and tells them so with a SIGHUP.
    pub fn replace_seed(&mut self, bootstrap: bool) -> Result<(), String> {
        self.seeds[REPLACED] = SPARE;
        for machine in 0..CORE {
            let Some(id) = self.children[machine].as_ref().map(Child::id) else {
                continue;
            };
            self.write_settings(machine, bootstrap)?;
            let signal = format!("kill -HUP {id}");
            let status = Command::new("sh").args(["-c", &signal]).status();
            status.map_err(|error| format!("{signal}: {error}"))?;
        }
        self.record
            .line("the settings name the spare machine as a seed, and SIGHUP is sent");
        Ok(())
    }

    /// Kills the process of a core machine. Its files stay as they are.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.children[machine].take() {
            // Killing fails if the process has ended; waiting still releases its id.
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("core {machine} is killed"));
        }
    }

    /// Empties the disk of a core machine whose process does not run.
    pub fn lose_disk(&self, machine: usize) -> Result<(), String> {
        fs::remove_dir_all(self.data(machine)).map_err(|error| error.to_string())?;
        self.record.line(&format!("core {machine} loses its disk"));
        Ok(())
    }

    /// Returns whether the process of a core machine was started and not killed since.
    pub fn is_started(&self, machine: usize) -> bool {
        self.children[machine].is_some()
    }

    /// Returns the number of processes that run.
    pub fn running(&mut self) -> usize {
        let children = self.children.iter_mut().flatten();
        children
            .filter_map(|child| child.try_wait().ok())
            .filter(Option::is_none)
            .count()
    }

    fn write_settings(&self, machine: usize, bootstrap: bool) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("{machine}.toml"));
        fs::write(&path, self.settings(machine, bootstrap)).map_err(|e| e.to_string())?;
        Ok(path)
    }

    fn data(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    fn settings(&self, machine: usize, bootstrap: bool) -> String {
        let ip_of = |machine| ip(self.net, machine);
        let own = ip_of(machine);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}:{CALLS}\"", ip_of(*seed)))
            .collect();
        let (seeds, zone) = (seeds.join(","), ZONES[machine]);
        let data = self.data(machine);
        format!(
            "nodeName = \"core-{zone}-{machine}\"\nrole = \"control\"\nmachineClass = \"core\"\n\
             serves = [\"control_plane\"]\nip = \"{own}\"\nzone = \"{zone}\"\nregion = \"lahore\"\n\
             portRange = [{PEERS},7735]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             inFaultBudget = true\ndiscovery = \"local\"\nentry = \"announce\"\n\
             heartbeatMs = 1200\nconfig_mode = \"highest\"\nhashScheme = \"mod\"\n\
             forwardingMode = \"agent\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\"]\n\
             dataDir = \"{data}\"\n\
             [zones]\ngulberg = \"lahore\"\njohar = \"lahore\"\nmodel-town = \"lahore\"\n\
             [listen]\ncontrol = \"{own}:{CALLS}\"\n\
             [limits]\ncpuShare = 0.6\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\n\
             linkMbps = 1000.0\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 4000\nackMs = 5000\n\
             catchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n\
             rollbackSlackMs = 250\nmaxStretchMs = 12000\ncoldBurstFactor = 1.5\ncoldSlack = 5\n\
             evacuationMs = 5000\nrecoveryS = 12\nmisrouteMs = 2000\nmaxFlowS = 60\n",
            data = data.display(),
        )
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        for machine in 0..=SPARE {
            self.kill(machine);
        }
        // Only a temporary folder is left behind if this fails.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn ip(net: u8, machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 1, machine as u8 + 1)
}

fn is_free(net: u8) -> bool {
    let ports = [CALLS, PEERS];
    let addresses = (0..=SPARE).flat_map(|machine| ports.map(|port| (ip(net, machine), port)));
    addresses
        .into_iter()
        .all(|address| TcpListener::bind(address).is_ok())
}
