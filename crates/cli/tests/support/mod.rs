//! Fixture of the tests that run the `fireflylever` program.

// Each test file compiles this module and uses only a part of it.
#![allow(dead_code)]

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use standin::{Store, StoreControl};

/// Temporary directory with release notes, in which a test runs the program, and the address of the
/// store that the program uses.
pub struct CliFixture {
    dir: PathBuf,
    pub store: String,
}

impl CliFixture {
    pub fn new(name: &str, store: &standin::RunningServer) -> Self {
        let dir = std::env::temp_dir().join(format!("cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let store = store.address().to_string();
        let fixture = Self { dir, store };
        fixture.write_file("1.jsonc", &first_note());
        fixture.write_file("2.jsonc", &second_note("ana", 32));
        fixture
    }

    pub fn write_file(&self, name: &str, text: &str) {
        fs::write(self.dir.join(name), text).unwrap();
    }

    /// Runs a command and returns whether it succeeded, and its output.
    pub async fn run(&self, args: &[&str]) -> (bool, String) {
        let (code, text) = self.run_for_exit_code(args).await;
        (code == Some(0), text)
    }

    /// Runs a command and returns its exit code and output.
    pub async fn run_for_exit_code(&self, args: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fireflylever"));
        command.args(args).current_dir(&self.dir);
        command.env_remove("RUST_LOG");
        if !["check", "key"].contains(&args[0]) {
            command.args(["--store", &self.store]);
        }
        // The store stand-in accepts connections on this thread, which must not block.
        let blocking = tokio::task::spawn_blocking(move || command.output()).await;
        let Output {
            status,
            stdout,
            stderr,
        } = blocking.unwrap().unwrap();
        let text = String::from_utf8([stdout, stderr].concat()).unwrap();
        (status.code(), text)
    }

    /// Runs one command a line, in the form `ok or error | command | expected part of the output`.
    ///
    /// Returns the output of the last command.
    pub async fn run_script(&self, lines: &str) -> String {
        let mut last = String::new();
        for line in lines.trim().lines() {
            let cells: Vec<&str> = line.split(" | ").map(str::trim).collect();
            let [success, command, part] = cells[..] else {
                panic!("{line}");
            };
            let args: Vec<&str> = command.split(' ').collect();
            let (found, text) = self.run(&args).await;
            assert_eq!(found, success == "ok", "{line}: {text}");
            assert!(text.contains(part), "{line}: {text}");
            last = text;
        }
        last
    }
}

impl Drop for CliFixture {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the first release note of the Grifo Común example.
pub fn first_note() -> String {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/grifo-comun/release-1.jsonc"
    );
    fs::read_to_string(path).unwrap()
}

/// Returns a note on the first release that changes the slots of one upstream.
pub fn second_note(author: &str, slots: u32) -> String {
    format!(
        "{{\n\"base\": 1, \"author\": \"{author}\", \"reason\": \"test\",\n\"changed\": [\n\
        {{\"list\": \"upstreams\", \"name\": \"assistant-01\", \"field\": \"slots\",\n\
        \"before\": 24,\n\"after\": {slots}}}]}}"
    )
}

/// Starts a store stand-in on a free port.
pub fn start_store() -> (Store, standin::RunningServer) {
    let store = Store::default();
    let running = store.start("127.0.0.1:0".parse().unwrap()).unwrap();
    (store, running)
}

/// Returns the fault that makes the store answer every call with status 503.
pub fn unavailable_store() -> StoreControl {
    StoreControl {
        down: true,
        ..StoreControl::default()
    }
}
