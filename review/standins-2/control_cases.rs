//! Cases about the core machines and the operator.

use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::fleet::{CORE, Fleet, REPLACED, SPARE};
use crate::http::{Response, call};
use crate::record::Record;

/// The configuration that the operator sends.
const CONFIGURATION: &str = concat!(
    r#"{"version":7,"routes":[{"name":"r-feed","host":"198.18.0.1","pathPrefix":"/8443/","#,
    r#""routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"#,
    r#""service":"huvo11a","attempts":2},{"name":"r-proof","host":"198.18.0.2","#,
    r#""pathPrefix":"/8443/","routeType":"download","timeoutMs":3000,"targetLatencyMs":500,"#,
    r#""priority":2,"service":"wuno96b","attempts":2}],"services":[{"name":"huvo11a","#,
    r#""healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"coldStartS":2.0,"#,
    r#""coldPerS":0.0},{"name":"wuno96b","healthPath":"/health","maxConns":2000,"#,
    r#""protocol":"h1","tls":false,"coldStartS":2.0,"coldPerS":0.0}],"limits":{"#,
    r#""maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"#,
    r#""idleTimeoutMs":15000}}"#
);

/// The bounds of the site, as in the settings of the processes.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const ACK: Duration = Duration::from_millis(5_000);
const RECOVERY: Duration = Duration::from_secs(12);

/// When the processes that a case kills are killed, counted from the first start.
const EARLY: Duration = Duration::from_millis(600);

/// When a machine that fails at the first start loses power, and when the others start.
const FAILS: Duration = Duration::from_millis(100);
const OTHERS_START: Duration = Duration::from_millis(200);

/// How long after a machine is gone for good its successor starts.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(2);

/// How long a killed process is down before the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Pause of the operator between two calls, and how it grows.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LAST_PAUSE: Duration = Duration::from_millis(800);

/// How long a case waits for what must come, counted from when the last process is back.
const PATIENCE: Duration = Duration::from_secs(60);

type CaseResult = Result<Outcome, String>;

/// The first seed's process is killed 0.6 s after the first start and started again.
pub fn founder_killed(record: &Record, trouble: bool) -> CaseResult {
    let mut fleet = start_all(record)?;
    sleep(EARLY);
    if trouble {
        fleet.kill(0);
        sleep(RESTART_DELAY);
        // As at the first start: the disk is kept, and the settings are unchanged.
        fleet.start(0, true)?;
    }
    judge_acknowledgement(record, &mut fleet)
}

/// A seed fails 0.1 s after its first start and is replaced by an empty machine at another address.
pub fn seed_replaced(record: &Record, trouble: bool) -> CaseResult {
    let mut fleet = Fleet::new(record)?;
    fleet.start(REPLACED, true)?;
    sleep(FAILS);
    if trouble {
        fleet.kill(REPLACED);
    }
    sleep(OTHERS_START - FAILS);
    let others = (0..CORE).filter(|machine| *machine != REPLACED);
    others
        .into_iter()
        .try_for_each(|machine| fleet.start(machine, true))?;
    if trouble {
        sleep(SUCCESSOR_DELAY);
        fleet.start(SPARE, false)?;
        fleet.replace_seed(true)?;
    }
    judge_acknowledgement(record, &mut fleet)
}

/// Sends the first configuration until it is acknowledged, and checks when that was. All machines are
/// up by now.
fn judge_acknowledgement(record: &Record, fleet: &mut Fleet<'_>) -> CaseResult {
    let back = record.now();
    let acknowledged = order(record, fleet, back + PATIENCE);
    let running = fleet.running();
    let limit = back + STABLE_WINDOW + ACK;
    let within = format!("{running} processes run at the end");
    Ok(match acknowledged {
        _ if running != CORE => Outcome::NotRun(format!("{running} of {CORE} processes run")),
        Some((at, _)) if at <= limit => {
            Outcome::Held(format!("acknowledged at {at:.1?}; {within}"))
        }
        Some((at, _)) => Outcome::Broken(format!(
            "acknowledged at {at:.1?}, and the core is stable from {:.1?} on; {within}",
            back + STABLE_WINDOW
        )),
        None => Outcome::Broken(format!(
            "the first configuration was not acknowledged within {PATIENCE:?}; {within}"
        )),
    })
}

/// Two machines of the core are without power while the others accept the first configuration, and
/// the machine that acknowledged it loses its disk before they are back.
pub fn founding_missed(record: &Record, trouble: bool) -> CaseResult {
    let mut fleet = start_all(record)?;
    sleep(EARLY);
    let johar = [2, 3];
    if trouble {
        johar.into_iter().for_each(|machine| fleet.kill(machine));
    }
    let until = record.now() + PATIENCE / 2;
    let Some((_, reply)) = order(record, &fleet, until) else {
        return Ok(Outcome::NotRun(
            "the configuration was not acknowledged".into(),
        ));
    };
    if trouble {
        let acknowledger = fleet
            .at(reply.from)
            .ok_or("an unknown machine acknowledged")?;
        fleet.kill(acknowledger);
        fleet.lose_disk(acknowledger)?;
        sleep(Duration::from_secs(1));
        fleet.start(acknowledger, false)?;
        johar
            .into_iter()
            .try_for_each(|machine| fleet.start(machine, false))?;
    }
    let back = record.now();
    let read = read_back(record, &fleet, back + PATIENCE);
    let running = fleet.running();
    let limit = back + RECOVERY + STABLE_WINDOW;
    Ok(match read {
        _ if running != CORE => Outcome::NotRun(format!("{running} of {CORE} processes run")),
        Some((at, body)) if body == CONFIGURATION && at <= limit => {
            Outcome::Held(format!("read back at {at:.1?}"))
        }
        Some((at, body)) => Outcome::Broken(format!("read back at {at:.1?}: {body}")),
        None => Outcome::Broken(format!(
            "the acknowledged configuration could not be read back within {PATIENCE:?} after all \
             {CORE} processes were back"
        )),
    })
}

fn start_all(record: &Record) -> Result<Fleet<'_>, String> {
    let mut fleet = Fleet::new(record)?;
    (0..CORE).try_for_each(|machine| fleet.start(machine, true))?;
    Ok(fleet)
}

/// Sends the configuration to one node after the other until it is acknowledged.
fn order(record: &Record, fleet: &Fleet<'_>, until: Duration) -> Option<(Duration, Response)> {
    repeat(
        record,
        fleet,
        until,
        ("POST", "/-/config/replace", CONFIGURATION),
    )
}

/// Reads the configuration from one node after the other until it comes.
fn read_back(record: &Record, fleet: &Fleet<'_>, until: Duration) -> Option<(Duration, String)> {
    let read = repeat(record, fleet, until, ("GET", "/-/config/fetch", ""));
    read.map(|(at, response)| (at, response.body))
}

fn repeat(
    record: &Record,
    fleet: &Fleet<'_>,
    until: Duration,
    (method, path, body): (&str, &str, &str),
) -> Option<(Duration, Response)> {
    let mut pause = FIRST_PAUSE;
    let machines = (0..=SPARE).filter(|machine| fleet.is_started(*machine));
    for machine in machines.collect::<Vec<_>>().into_iter().cycle() {
        if record.now() >= until {
            return None;
        }
        let response = call(fleet.calls(machine), method, path, body);
        let now = record.now();
        match response {
            Ok(response) => {
                let Response { status, from, body } = &response;
                record.line(&format!(
                    "{method} {path} to core {machine}: {from} says {status} {body}"
                ));
                if *status == 200 {
                    return Some((now, response));
                }
            }
            Err(error) => record.line(&format!("{method} {path} to core {machine}: {error}")),
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(LAST_PAUSE);
    }
    None
}
