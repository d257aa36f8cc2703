//! Short seeded runs of the real programs: one for every change, and the seeds that ever failed.

use std::process::Command;

fn play(seed: &str, seconds: &str) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(["--seed", seed, "--seconds", seconds, "--folder"])
        .arg(&folder)
        .output()
        .expect("the soak starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    let folder_name = folder.display();
    assert!(
        output.status.success(),
        "{text}{errors} logs in {folder_name}"
    );
    std::fs::remove_dir_all(&folder).expect("the folder of the logs");
}

/// Guards against a broken promise under signals, broken connections and a faulty store.
#[test]
fn holds_promises_under_overlapping_faults() {
    play("1", "5");
}

/// Failed once: a daemon's port had gone to an outgoing connection while it restarted, and the log
/// showed a call of the store every 10 ms while it kept no history.
#[test]
fn holds_promises_of_seed_40() {
    play("40", "5");
}

/// Failed once, for the same cause of the soak's own as seed 40: a port that was taken.
#[test]
fn holds_promises_of_seed_3() {
    play("3", "5");
}

/// Failed once with a stream that lacked its first events: the soak's proxy dropped bytes in the
/// middle of a connection and passed on later ones, which TCP never does.
#[test]
fn holds_promises_of_seed_148() {
    play("148", "5");
}

/// Failed with half of a body that looked whole: the proxy turned the reset of an answer without a
/// length into an orderly end.
#[test]
fn holds_promises_of_seed_211() {
    play("211", "8");
}

/// Failed for the same cause as seed 211: the reset came after an orderly end.
#[test]
fn holds_promises_of_seed_207() {
    play("207", "8");
}
