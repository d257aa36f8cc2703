//! What the tests of the program share.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use standin::{Store, StoreControl};

/// Directory of one test and the address of its store.
pub struct Case {
    folder: PathBuf,
    pub store: String,
}

impl Case {
    pub fn new(name: &str, store: &standin::RunningServer) -> Self {
        let folder = std::env::temp_dir().join(format!("cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let store = store.address().to_string();
        let case = Self { folder, store };
        case.file("1.jsonc", &first_note());
        case.file("2.jsonc", &second_note("ana", 32));
        case
    }

    pub fn file(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).unwrap();
    }

    /// Runs a command and returns whether it succeeded, with everything it printed.
    pub async fn run(&self, args: &[&str]) -> (bool, String) {
        let (code, text) = self.run_code(args).await;
        (code == Some(0), text)
    }

    /// Runs a command and returns its exit code, with everything it printed.
    pub async fn run_code(&self, args: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fireflylever"));
        command.args(args).current_dir(&self.folder);
        command.env_remove("RUST_LOG");
        if !["check", "key"].contains(&args[0]) {
            command.args(["--store", &self.store]);
        }
        // The stand-in accepts connections on this thread, which therefore must not block.
        let blocking = tokio::task::spawn_blocking(move || command.output()).await;
        let Output {
            status,
            stdout,
            stderr,
        } = blocking.unwrap().unwrap();
        let text = String::from_utf8([stdout, stderr].concat()).unwrap();
        (status.code(), text)
    }

    /// Runs commands, one a line: expected success, command, part of what it prints.
    ///
    /// Returns what the last one printed.
    pub async fn script(&self, lines: &str) -> String {
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

impl Drop for Case {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn first_note() -> String {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/grifo-comun/release-1.jsonc"
    );
    fs::read_to_string(path).unwrap()
}

pub fn second_note(author: &str, slots: u32) -> String {
    format!(
        "{{\n\"base\": 1, \"author\": \"{author}\", \"reason\": \"test\",\n\"changed\": [\n\
        {{\"list\": \"upstreams\", \"name\": \"assistant-01\", \"field\": \"slots\",\n\
        \"before\": 24,\n\"after\": {slots}}}]}}"
    )
}

pub fn start() -> (Store, standin::RunningServer) {
    let store = Store::default();
    let running = store.start("127.0.0.1:0".parse().unwrap()).unwrap();
    (store, running)
}

pub fn down() -> StoreControl {
    StoreControl {
        down: true,
        ..StoreControl::default()
    }
}
