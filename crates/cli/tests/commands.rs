//! The program against the store stand-in, as an operator runs it.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use standin::{Store, StoreControl};

/// Directory of one test and the address of its store.
struct Case {
    folder: PathBuf,
    store: String,
}

impl Case {
    fn new(name: &str, store: &standin::Running) -> Self {
        let folder = std::env::temp_dir().join(format!("cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            store: store.address().to_string(),
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Runs a command and returns whether it succeeded, with everything it printed.
    async fn run(&self, args: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fireflylever"));
        command.args(args).env_remove("RUST_LOG");
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
        (status.success(), text)
    }

    /// Runs a command and compares its success and a part of what it printed.
    async fn expect(&self, args: &[&str], succeeds: bool, part: &str) -> String {
        let (success, text) = self.run(args).await;
        assert_eq!(success, succeeds, "{args:?}: {text}");
        assert!(text.contains(part), "{args:?}: {text}");
        text
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn first_note() -> String {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/grifo-comun/release-1.jsonc"
    );
    fs::read_to_string(path).unwrap()
}

fn second_note(author: &str, slots: u32) -> String {
    format!(
        "{{\n\"base\": 1, \"author\": \"{author}\", \"reason\": \"test\",\n\"changed\": [\n\
        {{\"list\": \"upstreams\", \"name\": \"assistant-01\", \"field\": \"slots\",\n\
        \"before\": 24,\n\"after\": {slots}}}]}}"
    )
}

/// Guards against an exit code, a message or a number that an operator's script relies on.
#[ntex::test]
async fn an_operator_releases_twice() {
    let store = Store::default()
        .start("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let case = Case::new("twice", &store);
    let first = case.file("1.jsonc", &first_note());
    let second = case.file("2.jsonc", &second_note("ana", 32));
    let rival = case.file("3.jsonc", &second_note("bia", 16));
    case.expect(&["check", &first, &second], true, "release note, no faults")
        .await;
    case.expect(
        &["release", "check", &first],
        true,
        "makes version 1 from 0",
    )
    .await;
    case.expect(
        &["release", "check", &second],
        false,
        "2.jsonc:2: base: version 0 is in force",
    )
    .await;
    case.expect(&["release", "apply", &first], true, "version 1 is accepted")
        .await;
    case.expect(
        &["release", "apply", &second],
        true,
        "version 2 is accepted",
    )
    .await;
    case.expect(
        &["release", "apply", &rival],
        false,
        "error 7002 note_conflict",
    )
    .await;
    case.expect(
        &["release", "check", &rival],
        false,
        "3.jsonc:5: changed[0].before: the value in force is 32",
    )
    .await;
    let shown = case
        .expect(&["release", "show"], true, "\"version\": 2")
        .await;
    case.expect(&["release", "show", "2"], true, "\"author\": \"ana\"")
        .await;
    case.expect(&["release", "show", "3"], false, "has no record")
        .await;
    let history = case
        .expect(&["release", "history"], true, "lucia.andrade")
        .await;
    assert_eq!(history.lines().count(), 3, "{history}");
    case.expect(&["upstreams"], true, "assistant-01  model")
        .await;
    case.expect(&["hosts"], true, "host  address  state").await;
    let wanted = shown.replacen("\"slots\": 32", "\"slots\": 8", 1);
    let wanted = case.file("wanted.jsonc", &wanted);
    let note = case
        .expect(
            &["release", "diff", &wanted, "--author", "ana"],
            true,
            "\"after\": 8",
        )
        .await;
    let third = case.file("4.jsonc", &note);
    case.expect(&["release", "apply", &third], true, "version 3 is accepted")
        .await;
    store.stop().await;
}

/// Guards against a wrong statement about a change during an outage or after a lost answer.
#[ntex::test]
async fn an_operator_meets_faults_of_the_store() {
    let control = Store::default();
    let store = control.start("127.0.0.1:0".parse().unwrap()).unwrap();
    let case = Case::new("faults", &store);
    let first = case.file("1.jsonc", &first_note());
    control.control(StoreControl {
        down: true,
        ..StoreControl::default()
    });
    case.expect(
        &["release", "apply", &first],
        false,
        "error 7004 store_down",
    )
    .await;
    control.control(StoreControl {
        lose_answers: 1,
        ..StoreControl::default()
    });
    case.expect(&["release", "apply", &first], true, "version 1 is accepted")
        .await;
    // The attempt number tells whether a change took effect after the program has ended.
    control.control(StoreControl::default());
    let second = case.file("2.jsonc", &second_note("ana", 32));
    let applied = case
        .expect(
            &["release", "apply", &second],
            true,
            "version 2 is accepted",
        )
        .await;
    let attempt = applied
        .lines()
        .find_map(|line| line.strip_prefix("attempt "))
        .unwrap();
    let again = ["release", "apply", &second, "--attempt", attempt];
    case.expect(&again, true, "version 2 is accepted").await;
    case.expect(
        &["release", "apply", &second],
        false,
        "error 7002 note_conflict",
    )
    .await;
    control.control(StoreControl {
        down: true,
        ..StoreControl::default()
    });
    case.expect(&again, false, "error 7005 note_unknown").await;
    case.expect(&["release", "history"], false, "error 7004 store_down")
        .await;
    store.stop().await;
}

/// Guards against two winners of one race between processes, and against a lost record.
#[ntex::test]
async fn holds_config_one_of_several_operators_wins() {
    let store = Store::default()
        .start("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let case = Case::new("race", &store);
    let first = case.file("1.jsonc", &first_note());
    case.expect(&["release", "apply", &first], true, "version 1 is accepted")
        .await;
    let notes: Vec<String> = (0..6)
        .map(|index| {
            case.file(
                &format!("{index}.jsonc"),
                &second_note(&format!("op-{index}"), 30 + index),
            )
        })
        .collect();
    let runs = notes
        .iter()
        .map(async |note| case.run(&["release", "apply", note]).await);
    let ended = futures::future::join_all(runs).await;
    let winners: Vec<_> = ended.iter().filter(|(success, _)| *success).collect();
    assert_eq!(winners.len(), 1, "{ended:?}");
    let refused = ended
        .iter()
        .filter(|(_, text)| text.contains("error 7002 note_conflict"));
    assert_eq!(refused.count(), 5, "{ended:?}");
    let winner = ended.iter().position(|(success, _)| *success).unwrap();
    let author = format!("\"author\": \"op-{winner}\"");
    case.expect(&["release", "show", "2"], true, &author).await;
    store.stop().await;
}

/// Guards against a daemon that does not take up what an operator applied, and against a status
/// that hides it.
#[ntex::test]
async fn holds_config_from_the_operator_to_the_daemon() {
    let control = Store::default();
    let store = control.start("127.0.0.1:0".parse().unwrap()).unwrap();
    let case = Case::new("daemon", &store);
    let host = format!(
        r#"{{"name": "entry-1", "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store": "{}", "store_poll_ms": 10,
        "peer_keys": [{{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}}]}}"#,
        store.address()
    );
    let daemon = daemon::Daemon::new(settings::Host::parse(&host).unwrap())
        .start()
        .await
        .unwrap();
    let admin = daemon.admin_listen().to_string();
    let status = ["release", "status", "--hosts", &admin];
    for (name, note, version) in [("1", first_note(), 1), ("2", second_note("ana", 32), 2)] {
        let file = case.file(name, &note);
        case.expect(&["release", "apply", &file], true, "is accepted")
            .await;
        // Bounded: the daemon polls every 10 ms, each round takes longer than that.
        let mut last = (false, String::new());
        for _ in 0..200 {
            last = case.run(&status).await;
            if last.0 {
                break;
            }
        }
        assert!(last.0, "{}", last.1);
        assert!(
            last.1.contains(&format!("in force: version {version}")),
            "{}",
            last.1
        );
        assert!(last.1.contains("equals the note"), "{}", last.1);
    }
    control.control(StoreControl {
        down: true,
        ..StoreControl::default()
    });
    let text = case.expect(&status, false, "error 7004 store_down").await;
    assert!(
        text.contains("entry-1  2") && text.contains("not compared"),
        "{text}"
    );
    case.expect(
        &["release", "status", "--hosts", "127.0.0.1:1"],
        false,
        "error 4002",
    )
    .await;
    daemon.stop().await;
    store.stop().await;
}
