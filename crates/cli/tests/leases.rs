//! Runs the program as an operator does: commands under a lease, and settlements of claims.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use batch::Profile;
use claim::{Answer, Fingerprint, Record, State, row_key};
use standin::{Engine, EngineControl, StoreControl};
use store::{Expect, HttpTable, Table as _};

use self::support::{CliFixture, first_note, start_store, unavailable_store};

const LOAD: &str = "upstream command assistant-01 --load counter-chat --by ana";

fn engine(honours_fencing: bool) -> (Engine, standin::RunningServer) {
    let engine = Engine::new(Profile::default(), &["faucet-vision"]).with_fencing(honours_fencing);
    let running = engine.start("127.0.0.1:0".parse().unwrap()).unwrap();
    (engine, running)
}

async fn table(fixture: &CliFixture) -> HttpTable {
    let address = fixture.store.parse().unwrap();
    HttpTable::new(address, Duration::from_secs(5))
        .await
        .unwrap()
}

/// Applies a release in which assistant-01 and assistant-03 are these engines: the first honours
/// fencing tokens, the second ignores them.
async fn release(
    fixture: &CliFixture,
    fencing: &standin::RunningServer,
    ignoring: &standin::RunningServer,
) {
    let note = first_note()
        .replace("127.0.0.1:21101", &fencing.address().to_string())
        .replace("127.0.0.1:21103", &ignoring.address().to_string());
    fixture.write_file("1.jsonc", &note);
    fixture
        .run_script("ok | release apply 1.jsonc | version 1 is accepted")
        .await;
}

/// Guards against a command that is reported wrongly, leaves no audit row, or is applied by an
/// upstream although its fencing token is old.
#[ntex::test]
async fn holds_lease_commands_of_operators() {
    let (control, store) = start_store();
    let fixture = CliFixture::new("lease", &store);
    let ((first, first_running), (third, third_running)) = (engine(true), engine(false));
    release(&fixture, &first_running, &third_running).await;
    fixture
        .run_script(&format!(
            "
        ok | {LOAD} | after: models [counter-chat, faucet-vision]
        ok | upstream command assistant-01 --unload counter-chat --by bia | token 2, sent 1 time(s)
        ok | upstream command assistant-03 --role draft --by bia | role \"draft\"
        error | upstream command assistant-01 --by ana | error 7007
        error | upstream command inventory-01 --load a --by ana | error 7007"
        ))
        .await;
    assert_eq!((first.state().token, first.state().applied), (2, 2));
    let table = table(&fixture).await;
    let audit = table.read("audit/command/assistant-01/2").await;
    let audit = audit.unwrap().unwrap().value;
    for part in [
        "\"by\":\"bia\"",
        "unload_model",
        "\"outcome\":\"confirmed\"",
    ] {
        assert!(audit.contains(part), "{audit}");
    }
    // A response of the engine and one of the store are lost; reads of the engine's state confirm
    // the command.
    third.control(EngineControl {
        lose_command_answers: 1,
        ignore_commands: 1,
        ..EngineControl::default()
    });
    control.control(StoreControl {
        lose_answers: 1,
        ..StoreControl::default()
    });
    let load = "upstream command assistant-03 --load catalogue-compare --by ana";
    let text = fixture
        .run_script(&format!("ok | {load} | sent 2 time(s)"))
        .await;
    assert!(text.contains("the command was repeated"), "{text}");
    // A command with a newer token makes the engine refuse this program's older tokens.
    let newer = lease::Command {
        token: 99,
        action: lease::Action::SetRole("draft".to_owned()),
    };
    let client = ntex::client::Client::new().await;
    let url = format!("http://{}/commands", first_running.address());
    client.post(url).send_json(&newer).await.unwrap();
    fixture
        .run_script(&format!("error | {LOAD} | error 7009 command_refused"))
        .await;
    assert_eq!(first.state().refused, 1);
    control.control(unavailable_store());
    fixture
        .run_script(&format!("error | {LOAD} | error 7004 store_down"))
        .await;
    for running in [first_running, third_running, store] {
        running.stop().await;
    }
}

/// Guards against a command sent while another holder's lease may still be valid, and against a
/// definite result for a command whose outcome is unknown.
#[ntex::test]
async fn holds_lease_waits_and_reports_uncertainty() {
    let (_, store) = start_store();
    let fixture = CliFixture::new("wait", &store);
    let ((first, first_running), (third, third_running)) = (engine(true), engine(false));
    release(&fixture, &first_running, &third_running).await;
    let table = table(&fixture).await;
    let mut held = lease::Record {
        holder: "bia".to_owned(),
        attempt: "other".to_owned(),
        token: 7,
        length_us: 60_000_000,
        renewals: 0,
        released: false,
    };
    let key = lease::row_key("assistant-01");
    let version = table.write(&key, Expect::Absent, &held.to_value()).await;
    let busy = format!("error | {LOAD} --wait-ms 100 | error 7008");
    assert!(fixture.run_script(&busy).await.contains("holder bia"));
    assert_eq!(first.state().applied, 0);
    held.length_us = 100_000;
    let expect = Expect::Version(version.unwrap());
    table.write(&key, expect, &held.to_value()).await.unwrap();
    fixture
        .run_script(&format!("ok | {LOAD} | token 8, sent 1 time(s)"))
        .await;
    third.control(EngineControl {
        lose_commands: 9,
        ..EngineControl::default()
    });
    let load = "upstream command assistant-03 --load a --by ana";
    let (code, text) = fixture
        .run_for_exit_code(&load.split(' ').collect::<Vec<_>>())
        .await;
    assert!(code == Some(2) && text.contains("error 7010"), "{text}");
    // A lost command may still arrive, so its lease must not be released at once.
    let again = format!("error | {load} --wait-ms 100 | error 7008");
    fixture.run_script(&again).await;
    for running in [first_running, third_running, store] {
        running.stop().await;
    }
}

/// Guards against a settlement that is stored without author and reason, and against one of a claim
/// that needs no decision.
#[ntex::test]
async fn holds_once_operators_settle_claims() {
    let (control, store) = start_store();
    let fixture = CliFixture::new("claims", &store);
    let table = table(&fixture).await;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let now_ms = u64::try_from(now_ms.as_millis()).unwrap();
    let (status, content_type, body) = (201, String::new(), String::new());
    let answer = Answer {
        status,
        content_type,
        body,
    };
    let claims = [
        ("lost", State::Unknown, 0),
        ("stuck", State::Claimed, 3_600_000),
        ("young", State::Claimed, 0),
        ("done", State::Done { answer }, 0),
    ];
    for (key, state, age_ms) in claims {
        let fingerprint = Fingerprint::new("POST", "/inventory/reservations", b"{}");
        let record = Record::new(key, key, "costa-norte-1", fingerprint);
        let record = record
            .with_state(state)
            .with_claimed_unix_ms(now_ms - age_ms);
        let (key, value) = (row_key("pacifico", key), record.to_value());
        table.write(&key, Expect::Absent, &value).await.unwrap();
    }
    let list = fixture
        .run_script("ok | claim list pacifico | sent without an answer")
        .await;
    assert!(
        list.contains("stuck") && !list.contains("young") && !list.contains("done"),
        "{list}"
    );
    control.control(StoreControl {
        lose_answers: 1,
        ..StoreControl::default()
    });
    let by = "--by ana --reason ticket-7";
    fixture
        .run_script(&format!(
            "
        ok | claim settle pacifico lost --ran yes {by} | settled: ran
        ok | claim settle pacifico lost --ran yes {by} | settled: ran
        error | claim settle pacifico lost --ran no {by} | error 7013 claim_conflict
        ok | claim show pacifico lost | \"reason\": \"ticket-7\"
        ok | claim settle pacifico stuck --ran no {by} | settled: did not run
        error | claim settle pacifico young --ran no {by} | less than 10 minutes ago
        error | claim settle pacifico done --ran no {by} | the claim is done
        error | claim settle pacifico none --ran no {by} | error 7012 unknown_claim
        error | claim settle pacifico done --ran maybe {by} | error 7007
        error | claim show pacifico none | error 7012 unknown_claim
        ok | claim list pacifico --older-s 0 | young"
        ))
        .await;
    control.control(unavailable_store());
    fixture
        .run_script(&format!(
            "error | claim settle pacifico young --ran no {by} | error 7004"
        ))
        .await;
    store.stop().await;
}
