//! Short seeded runs of the soak: one general run, and the seeds that have failed before.

use std::process::Command;

/// Runs the soak with one seed and checks that it passes.
fn run_seed(seed: &str, seconds: &str) {
    run_seed_with_drills(seed, seconds, "0");
}

/// Does the same with a number of drills, in which the store comes back from an older copy.
fn run_seed_with_drills(seed: &str, seconds: &str, drills: &str) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(["--seed", seed, "--seconds", seconds, "--drills", drills])
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the soak program starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    let folder_name = folder.display();
    assert!(
        output.status.success(),
        "{text}{errors} logs in {folder_name}"
    );
    std::fs::remove_dir_all(&folder).expect("the folder of the logs");
}

/// Guards against violated guarantees under signals, broken connections and faults of the store.
#[test]
fn holds_promises_under_overlapping_faults() {
    run_seed("1", "5");
}

/// Guards against two faults: while a daemon restarted, its port was taken by an outgoing
/// connection; and a daemon called the store every 10 ms while the store kept no history.
#[test]
fn holds_promises_of_seed_40() {
    run_seed("40", "5");
}

/// Guards against the soak's own fault that seed 40 found too: a daemon's port was taken while it
/// restarted.
#[test]
fn holds_promises_of_seed_3() {
    run_seed("3", "5");
}

/// Guards against a proxy that drops bytes in the middle of a connection but forwards later ones,
/// which TCP never does: a stream arrived without its first events.
#[test]
fn holds_promises_of_seed_148() {
    run_seed("148", "5");
}

/// Guards against a proxy that turns the reset of a response without a length into an orderly
/// close: half of a body looked complete.
#[test]
fn holds_promises_of_seed_211() {
    run_seed("211", "8");
}

/// Guards against the fault of seed 211 in another form: the proxy sent the reset after an orderly
/// close.
#[test]
fn holds_promises_of_seed_207() {
    run_seed("207", "8");
}

/// Guards against a request of the final load that isn't served in time. Its one failure followed a
/// suspension of all daemons, whose cause is not known.
#[test]
fn holds_promises_of_seed_423() {
    run_seed("423", "8");
}

/// Guards against hosts that never learn a configuration: the store comes back from an older copy,
/// and gives the versions that the hosts know out again, to that configuration among others.
#[test]
fn hosts_learn_the_configuration_after_a_drill() {
    run_seed_with_drills("2", "1", "1");
}

/// Guards against hosts that send requests to an upstream that has left: the store comes back from
/// older copies, and the upstream's leaving gets a version that the hosts know.
#[test]
fn hosts_learn_departures_after_a_drill() {
    run_seed_with_drills("9", "1", "1");
}
