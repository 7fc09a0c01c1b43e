//! Tests of the program at a site with pushed lists: an agent on the same machine serves the list, members report
//! their load to health checks only, and drains apply at once. No result depends on measured time: each step waits
//! for an effect of the previous one.

mod harness;

use harness::{
    MemberAction, Program, WATCH_HEAD, accept_watch, bind_loopback, connect_client, peer, program_command,
    read_answer, run_local, send_watch_line, start_program, write_test_file,
};
use linenhill::api::{Discovery, Micros};
use linenhill::config::{Config, LoadReason, Variables};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PUSHED: &str = include_str!("../examples/pushed.json");
const READ: &str = "/* id=a1,c=any,d=60000,cluster=1 */ SELECT val FROM state WHERE uid = 'aa'";

/// Parses a configuration; returns its drain grace, or the error text.
fn drain_grace_of(config: &str) -> Result<Micros, String> {
    let parsed =
        Config::parse(config, std::path::Path::new("pushed.json"), Variables::default(), LoadReason::Start);
    let config = parsed.map_err(|error| error.to_string())?;
    assert_eq!(config.site.settings.discovery, Discovery::Pushed);
    Ok(config.site.settings.rules.drain_grace)
}

/// Guards against a panic or an undetected wrong value for settings that only one of the two kinds of site has.
#[test]
fn missing_settings_have_defaults_and_wrong_ones_are_named() {
    assert_eq!(drain_grace_of(PUSHED), Ok(Micros(250_000)));
    assert_eq!(drain_grace_of(&PUSHED.replace("250000, \"fall\"", "90000, \"fall\"")), Ok(Micros(90_000)));
    assert_eq!(
        drain_grace_of(&PUSHED.replace("\"drainGrace\": 250000, ", "")),
        Ok(Micros(250_000)),
        "the default"
    );
    assert_eq!(
        drain_grace_of(&PUSHED.replace("\"zones\": [\"a\", \"b\", \"c\"], ", "")),
        Ok(Micros(250_000))
    );
    let reports = "\"report\": {\"how\": \"probe\", \"names\": [\"x0\", \"x1\", \"queue\"]},";
    assert_eq!(drain_grace_of(&PUSHED.replace(reports, "")), Ok(Micros(250_000)));
    for (valid, invalid, field) in [
        ("\"pushed\"", "\"polled\"", "settings.discovery"),
        ("\"drainGrace\": 250000", "\"drainGrace\": -1", "settings.rules.drainGrace"),
        ("\"drainGrace\": 250000", "\"drainGrace\": \"soon\"", "settings.rules.drainGrace"),
        ("non_idempotent", "unsafe", "settings.classes[3].semantics"),
        ("\"trailing\"", "\"sometimes\"", "settings.specifics.showsRole"),
        ("\"recovery\": \"off\"", "\"recovery\": \"maybe\"", "known.servers[0].recovery"),
        ("\"zone\": \"a\", \"zones\"", "\"zones\"", "settings.zone"),
        ("\"maxAttempts\": 10", "\"maxAttempts\": 0", "settings.limits.maxAttempts"),
        ("\"connectTimeout\": 250000, ", "", "settings.limits.connectTimeout"),
        ("\"connectTimeout\": 250000", "\"connectTimeout\": 0", "settings.limits.connectTimeout"),
        ("\"name\": \"any\"", "\"name\": \"list\"", "settings.classes[2].name"),
    ] {
        let text = PUSHED.replacen(valid, invalid, 1);
        assert_ne!(text, PUSHED, "{valid}");
        let error = drain_grace_of(&text).expect_err(field);
        assert!(error.contains(&format!("'{field}'")) && error.lines().count() == 1, "{field}: {error}");
    }
}

fn list(version: u64, id: &str, addr: &str, state: &str) -> String {
    format!(
        r#"{{"version":{version},"full":false,"servers":[{{"id":"{id}","addr":"{addr}","zone":"a","kind":"toy","cell":1,"state":"{state}","weight":1.0,"started_ms":0,"recovery":"on"}}]}}"#
    )
}

/// Runs a test with the program, three members, of which the first is the primary, and an agent that the test simulates.
fn run_with_agent<F: Future<Output = ()>>(
    name: &str, test: impl FnOnce(SocketAddr, Rc<Program>, TcpListener, [String; 3]) -> F,
) {
    run_local(async {
        let mut config = PUSHED.to_string();
        let mut members = Vec::new();
        for i in 0..3 {
            let (listener, address) = bind_loopback().await;
            config = config.replace(&format!("127.0.0.1:700{}", i + 1), &address.to_string());
            members.push(address.to_string());
            let respond = move |_: String| std::future::ready(MemberAction::Row(format!("from {i}")));
            tokio::task::spawn_local(peer::member(listener, i == 0, respond));
        }
        let (agent, agent_address) = bind_loopback().await;
        let config = config
            .replace("127.0.0.1:8500", &agent_address.to_string())
            .replace("\"slo\": 800000", "\"slo\": 30000000");
        let config = config.replace("\"connectTimeout\": 250000", "\"connectTimeout\": 5000000");
        let config = config.replace("\"seed\"", "\"admin\": \"127.0.0.1:0\", \"seed\"");
        let path = write_test_file(&format!("{name}.json"), &config);
        let program = Rc::new(start_program(program_command(&path), path));
        let members = members.try_into().unwrap_or_else(|_| panic!("three members"));
        test(program.logged_address("listens on "), program.clone(), agent, members).await;
    });
}

/// Guards against a program that opens no watch and uses its saved list indefinitely: at the start, after a watch ends,
/// after the agent was unavailable, and after a restart. Where lists are pushed, no watch is requested explicitly.
#[test]
fn watch_is_open_from_the_start_and_reopened() {
    run_with_agent("watch", |_, program, agent, [first, ..]| async move {
        let (mut watch, version) = accept_watch(&agent).await;
        assert_eq!(version, 1, "the version of the saved list");
        send_watch_line(&mut watch, WATCH_HEAD, &list(5, "m-1", &first, "in_service")).await;
        program.wait_for_log("list version 5").await;
        drop(watch);
        let (watch, version) = accept_watch(&agent).await;
        assert_eq!(version, 5);
        // Several watches end without a line, then the agent is unavailable for a while.
        drop(watch);
        for _ in 0..5 {
            assert_eq!(accept_watch(&agent).await.1, 5);
        }
        let at = agent.local_addr().expect("local address");
        drop(agent);
        program.wait_for_log("code=refused").await;
        let agent = TcpListener::bind(at).await.expect("bind listener again");
        let (mut watch, version) = accept_watch(&agent).await;
        assert_eq!(version, 5);
        send_watch_line(&mut watch, WATCH_HEAD, "").await;
        send_watch_line(&mut watch, "", &list(6, "m-1", &first, "in_service")).await;
        program.wait_for_log("list version 6").await;
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
        let restarted = start_program(harness::program_command(&program.config), program.config.clone());
        assert_eq!(accept_watch(&agent).await.1, 1, "a new process starts from its saved list");
        drop(restarted);
    });
}

/// Guards against a reload that leaves the program without a watch, or with the watch of the old agent.
#[test]
fn a_reload_moves_the_watch_to_the_new_agent() {
    run_with_agent("moved", |_, program, agent, [first, ..]| async move {
        let (mut old, _) = accept_watch(&agent).await;
        send_watch_line(&mut old, WATCH_HEAD, &list(5, "m-1", &first, "in_service")).await;
        program.wait_for_log("list version 5").await;
        let (other, other_address) = bind_loopback().await;
        let text = std::fs::read_to_string(&program.config).expect("read configuration");
        let before = agent.local_addr().expect("local address").to_string();
        std::fs::write(&program.config, text.replace(&before, &other_address.to_string()))
            .expect("write configuration");
        program.signal("-HUP");
        let (mut watch, version) = accept_watch(&other).await;
        assert_eq!(version, 5);
        send_watch_line(&mut watch, WATCH_HEAD, &list(6, "m-1", &first, "in_service")).await;
        program.wait_for_log("list version 6").await;
        assert_eq!(old.read(&mut [0; 8]).await.unwrap_or(0), 0, "the old watch is closed");
    });
}

/// Guards against statements to a member whose drain the agent has announced, and against roles in the list that are
/// ignored: the write must reach the primary, which only the list identifies.
#[test]
fn list_changes_apply_at_once() {
    run_with_agent("drained", |address, program, agent, [_, second, third]| async move {
        let (mut watch, _) = accept_watch(&agent).await;
        send_watch_line(&mut watch, WATCH_HEAD, &list(5, "m-2", &second, "terminating")).await;
        send_watch_line(&mut watch, "", &list(6, "m-3", &third, "terminated")).await;
        program.wait_for_log("list version 6").await;
        let write = READ.replace("c=any", "c=order").replace(
            "SELECT val FROM state WHERE uid = 'aa'",
            "INSERT INTO state VALUES ('aa', 'x') RETURNING val",
        );
        let mut client = connect_client(address, &[&write]).await;
        assert!(read_answer(&mut client).await.contains("from 0"));
        for n in 0..40 {
            let read = READ.replace("id=a1", &format!("id=r{n}"));
            client.write_all(&harness::encode(&[harness::query_command(&read)])).await.expect("write");
            let answer = read_answer(&mut client).await;
            assert!(!answer.contains("from 1") && !answer.contains("from 2"), "{answer}");
        }
    });
}

/// Guards against a proxy that receives no list changes, such as drains, in standby or once it is back in service.
#[test]
fn the_watch_is_kept_in_standby_and_back_in_service() {
    run_with_agent("standby", |_, program, agent, [first, ..]| async move {
        let (mut watch, _) = accept_watch(&agent).await;
        send_watch_line(&mut watch, WATCH_HEAD, &list(5, "m-1", &first, "in_service")).await;
        program.wait_for_log("list version 5").await;
        let operators = program.logged_address("operators call at ");
        for (path, log_text, list_version) in
            [("/standby", "operators: draining", 6), ("/active", "operators: serving", 7)]
        {
            let mut operator = TcpStream::connect(operators).await.expect("connect");
            let post = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
            operator.write_all(post.as_bytes()).await.expect("write");
            program.wait_for_log(log_text).await;
            drop(std::mem::replace(&mut watch, TcpStream::connect(operators).await.expect("connect")));
            let (next_watch, version) = accept_watch(&agent).await;
            assert_eq!(version, list_version - 1);
            watch = next_watch;
            send_watch_line(&mut watch, WATCH_HEAD, &list(list_version, "m-1", &first, "in_service")).await;
            program.wait_for_log(&format!("list version {list_version}")).await;
        }
    });
}

/// Guards against an upgrade that leaves no version with a watch: the new version opens its own watch at once,
/// although the old one still has one, and keeps it when the old one exits. Until then the old version continues to
/// receive lists.
#[test]
fn an_upgrade_leaves_no_moment_without_a_watch() {
    run_with_agent("upgrade", |_, first, agent, [m1, ..]| async move {
        let (watch, _) = accept_watch(&agent).await;
        first.signal("-KILL");
        first.wait_for_exit().await;
        drop(watch);
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("bind listener");
        let start_version =
            || start_program(harness::inheriting_command(&first.config, &socket, "5"), first.config.clone());
        let old = start_version();
        let (mut old_watch, version) = accept_watch(&agent).await;
        assert_eq!(version, 1);
        send_watch_line(&mut old_watch, WATCH_HEAD, &list(5, "m-1", &m1, "in_service")).await;
        old.wait_for_log("list version 5").await;
        let new = start_version();
        let (mut new_watch, version) = accept_watch(&agent).await;
        assert_eq!(version, 1, "the new version has only the saved list");
        send_watch_line(&mut new_watch, WATCH_HEAD, &list(6, "m-1", &m1, "in_service")).await;
        new.wait_for_log("list version 6").await;
        send_watch_line(&mut old_watch, "", &list(7, "m-1", &m1, "in_service")).await;
        old.wait_for_log("list version 7").await;
        old.signal("-TERM");
        assert!(old.wait_for_exit().await.success());
        send_watch_line(&mut new_watch, "", &list(8, "m-1", &m1, "in_service")).await;
        new.wait_for_log("list version 8").await;
        drop(new_watch);
        assert_eq!(accept_watch(&agent).await.1, 8, "the watch is reopened after the upgrade as well");
    });
}
