//! Runs the program against the store stand-in, as an operator does: releases, outages and races.

mod support;

use standin::StoreControl;

use self::support::{CliFixture, second_note, start_store, unavailable_store};

/// Guards against a changed exit code, message or number on which operators' scripts rely.
#[ntex::test]
async fn an_operator_releases_twice() {
    let (_, store) = start_store();
    let fixture = CliFixture::new("twice", &store);
    fixture.write_file("3.jsonc", &second_note("bia", 16));
    let shown = "
        ok | check 1.jsonc 2.jsonc | release note, no faults
        ok | release check 1.jsonc | makes version 1 from 0
        error | release check 2.jsonc | 2.jsonc:2: base: version 0 is in force
        ok | release apply 1.jsonc | version 1 is accepted
        ok | release apply 2.jsonc | version 2 is accepted
        error | release apply 3.jsonc | error 7002 note_conflict
        error | release apply 9.jsonc | error 7007 bad_argument
        error | release status | error 7007 bad_argument
        error | release check 3.jsonc | 3.jsonc:5: changed[0].before: the value in force is 32
        ok | release show 2 | \"author\": \"ana\"
        error | release show 3 | has no record
        ok | upstreams | assistant-01  model
        ok | hosts | host  address  state
        ok | release history --last 1 | ana
        ok | release show | \"version\": 2";
    let shown = fixture.run_script(shown).await;
    let history = fixture
        .run_script("ok | release history | lucia.andrade")
        .await;
    assert_eq!(history.lines().count(), 3, "{history}");
    fixture.write_file(
        "wanted.jsonc",
        &shown.replacen("\"slots\": 32", "\"slots\": 8", 1),
    );
    let note = "ok | release diff wanted.jsonc --author ana | \"after\": 8";
    let note = fixture.run_script(note).await;
    fixture.write_file("4.jsonc", &note);
    fixture
        .run_script("ok | release apply 4.jsonc | version 3 is accepted")
        .await;
    store.stop().await;
}

/// Guards against a wrong report about a release during an outage, or after the response to a write
/// was lost.
#[ntex::test]
async fn an_operator_meets_faults_of_the_store() {
    let (control, store) = start_store();
    let fixture = CliFixture::new("faults", &store);
    control.control(unavailable_store());
    fixture
        .run_script("error | release apply 1.jsonc | error 7004 store_down")
        .await;
    let lose_answers = 1;
    control.control(StoreControl {
        lose_answers,
        ..StoreControl::default()
    });
    fixture
        .run_script("ok | release apply 1.jsonc | version 1 is accepted")
        .await;
    let applied = fixture
        .run_script("ok | release apply 2.jsonc | version 2 is accepted")
        .await;
    let attempt = applied
        .lines()
        .find_map(|line| line.strip_prefix("attempt "))
        .unwrap();
    // A later run with the attempt number finds out whether the change took effect.
    let again = format!("release apply 2.jsonc --attempt {attempt}");
    fixture
        .run_script(&format!("ok | {again} | version 2 is accepted"))
        .await;
    fixture
        .run_script("error | release apply 2.jsonc | error 7002 note_conflict")
        .await;
    control.control(unavailable_store());
    fixture
        .run_script(&format!("error | {again} | error 7005 note_unknown"))
        .await;
    fixture
        .run_script("error | release history | error 7004 store_down")
        .await;
    store.stop().await;
}

/// Guards against two processes that both apply a note to the same version, and against a lost
/// release record. Six processes apply different notes at once.
#[ntex::test]
async fn holds_config_one_of_several_operators_wins() {
    let (_, store) = start_store();
    let fixture = CliFixture::new("race", &store);
    fixture
        .run_script("ok | release apply 1.jsonc | version 1 is accepted")
        .await;
    let runs = (0..6).map(async |index| {
        let file = format!("op-{index}.jsonc");
        fixture.write_file(&file, &second_note(&format!("op-{index}"), 30 + index));
        fixture.run(&["release", "apply", &file]).await
    });
    let results = futures::future::join_all(runs).await;
    let winners = results.iter().filter(|(success, _)| *success);
    assert_eq!(winners.count(), 1, "{results:?}");
    let refused = results
        .iter()
        .filter(|(_, text)| text.contains("error 7002"));
    assert_eq!(refused.count(), 5, "{results:?}");
    let winner = results.iter().position(|(success, _)| *success).unwrap();
    let shown = format!("ok | release show 2 | \"author\": \"op-{winner}\"");
    fixture.run_script(&shown).await;
    store.stop().await;
}

/// Guards against a daemon that does not load an applied release, and against a status that hides
/// the difference.
#[ntex::test]
async fn holds_config_from_the_operator_to_the_daemon() {
    let (control, store) = start_store();
    let fixture = CliFixture::new("daemon", &store);
    let host = format!(
        r#"{{"name": "entry-1", "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store": "{}", "store_poll_ms": 10,
        "peer_keys": [{{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}}]}}"#,
        store.address()
    );
    let host = settings::Host::parse(&host).unwrap();
    let daemon = daemon::Daemon::new(host).start().await.unwrap();
    let admin = daemon.admin_listen().to_string();
    let status = ["release", "status", "--hosts", &admin];
    for version in [1, 2] {
        let apply = format!("ok | release apply {version}.jsonc | is accepted");
        fixture.run_script(&apply).await;
        // The daemon polls every 10 ms; each run of the program takes longer, so 200 runs suffice.
        let mut last = (false, String::new());
        for _ in 0..200 {
            last = fixture.run(&status).await;
            if last.0 {
                break;
            }
        }
        let (success, text) = last;
        assert!(success, "{text}");
        assert!(
            text.contains(&format!("in force: version {version}")),
            "{text}"
        );
        assert!(text.contains("equals the note"), "{text}");
    }
    control.control(unavailable_store());
    let status = format!("error | release status --hosts {admin} | error 7004 store_down");
    let text = fixture.run_script(&status).await;
    assert!(text.contains("entry-1  2"), "{text}");
    assert!(text.contains("not compared"), "{text}");
    fixture
        .run_script("error | release status --hosts 127.0.0.1:1 | error 7006")
        .await;
    daemon.stop().await;
    store.stop().await;
}
