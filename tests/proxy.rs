//! Tests of the program with scripted members, discovery and clients. No result depends on measured time: each step
//! waits for an effect of the previous one.

mod harness;

use harness::{
    CONFIG, MemberAction, READ, WRITE, connect_client, encode, program_command, query_command, read_answer,
    run_with_config, run_with_members, write_test_file,
};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

/// Slots for clients that are served, with 96 descriptors in total.
const CLIENT_SLOTS: usize = 45;

#[test]
fn queries_are_served_in_their_order_with_only_d_rewritten() {
    let statements = Rc::new(RefCell::new(Vec::new()));
    let received = statements.clone();
    let respond = move |member: usize, statement: String| {
        received.borrow_mut().push(statement.clone());
        let is_rejected = statement.contains("INSERT") && member > 0;
        let reply = if is_rejected {
            MemberAction::Error("25006")
        } else {
            MemberAction::Row(statement[..8].to_string())
        };
        std::future::ready(reply)
    };
    run_with_members("served", respond, |address, _program| async move {
        let mut client = connect_client(address, &["", READ, WRITE]).await;
        assert!(read_answer(&mut client).await.starts_with('I'), "the empty query comes first");
        assert!(read_answer(&mut client).await.contains("/* id=a1"));
        assert!(read_answer(&mut client).await.contains("/* id=a2"));
        let without_d = |statement: &str| {
            let (head, tail) = statement.split_once(",d=").expect("field d");
            (head.to_string(), tail.split_once(',').expect("field after d").1.to_string())
        };
        let wanted = [without_d(READ), without_d(WRITE)];
        let statements = statements.borrow();
        assert!(statements.iter().all(|statement| wanted.contains(&without_d(statement))), "{statements:?}");
    });
}

/// Guards against long values that are changed, buffered completely or lost, in either direction. With 12 MB for long
/// messages, three of 6 MB must wait for each other.
#[test]
fn long_values_pass_both_ways_complete() {
    let long: String = (0..3_000_000u32).map(|n| char::from(b'a' + (n % 23) as u8)).collect();
    let value = long.clone();
    let sent = Rc::new(RefCell::new(Vec::new()));
    let received = sent.clone();
    let respond = move |member: usize, statement: String| {
        let is_write = statement.contains("INSERT");
        if is_write && member == 0 {
            received.borrow_mut().push(statement);
        }
        let row = if is_write { "written".into() } else { value.clone() };
        std::future::ready(if is_write && member > 0 {
            MemberAction::Error("25006")
        } else {
            MemberAction::Row(row)
        })
    };
    let config = CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 32");
    run_with_config("long", &config, respond, |address, _program| async move {
        let write =
            |n: usize| WRITE.replace("id=a2", &format!("id=w{n}")).replace("'x'", &format!("'{long}{long}'"));
        let statements: Vec<String> = (0..3).map(write).collect();
        let run_client = |n: usize| {
            let statement = statements[n].clone();
            let long = long.clone();
            async move {
                let read = READ.replace("id=a1", &format!("id=r{n}"));
                let mut client = connect_client(address, &[&read, &statement]).await;
                let answer = read_answer(&mut client).await;
                assert!(answer.contains(&long) && answer.contains("SELECT 1"), "{}", answer.len());
                assert!(read_answer(&mut client).await.contains("written"));
            }
        };
        tokio::join!(run_client(0), run_client(1), run_client(2));
        let mut sent = sent.borrow().clone();
        let after_d = |statement: &str| statement.split_once(",k=").map(|(_, tail)| tail.to_string());
        sent.sort();
        assert_eq!(sent.len(), 3);
        let is_same = |(sent, written): (&String, &String)| after_d(sent) == after_d(written);
        assert!(sent.iter().zip(&statements).all(is_same), "only field d is rewritten");
    });
}

/// Guards against a truncated value that appears complete, and against a second attempt after the first byte was
/// relayed.
#[test]
fn cut_off_long_value_ends_the_connection_without_retry() {
    let attempts = Rc::new(RefCell::new(0));
    let count = attempts.clone();
    let respond = move |_, _| {
        *count.borrow_mut() += 1;
        std::future::ready(MemberAction::TruncatedRow("v".repeat(1_000_000)))
    };
    run_with_members("torn", respond, |address, program| async move {
        let mut client = connect_client(address, &[READ]).await;
        let answer = read_answer(&mut client).await;
        assert!(
            answer.contains("vvvv") && answer.len() < 1_000_000 && !answer.contains("SELECT 1"),
            "{}",
            answer.len()
        );
        program.wait_for_log("code=cut-off").await;
        assert_eq!(*attempts.borrow(), 1);
    });
}

/// Guards against a rejection without the time after which to retry, and against a failure that is reported as a
/// rejection.
#[test]
fn rejections_carry_retry_after_and_unknown_outcomes_fail() {
    let respond = |_, statement: String| {
        std::future::ready(MemberAction::Error(if statement.contains("INSERT") { "XX000" } else { "53300" }))
    };
    run_with_members("refused", respond, |address, _program| async move {
        let mut client = connect_client(address, &[READ, WRITE]).await;
        let rejected = read_answer(&mut client).await;
        let retry_after = rejected.split("\0D").nth(1).and_then(|d| d.split('\0').next()).expect("field D");
        assert!(
            rejected.contains("C53300\0") && retry_after.parse::<u64>().is_ok_and(|ms| ms > 0),
            "{rejected:?}"
        );
        let failed = read_answer(&mut client).await;
        assert!(failed.contains("C08007\0"), "{failed:?}");
    });
}

#[test]
fn read_rejected_by_every_replica_runs_on_the_primary() {
    let respond = |member, statement: String| {
        let is_write = statement.contains("INSERT");
        std::future::ready(match member {
            0 => MemberAction::Row("from the primary".into()),
            _ if is_write => MemberAction::Error("25006"),
            _ => MemberAction::Error("72000"),
        })
    };
    run_with_members("miss", respond, |address, _program| async move {
        let mut client = connect_client(address, &[WRITE, READ]).await;
        assert!(read_answer(&mut client).await.contains("from the primary"));
        assert!(read_answer(&mut client).await.contains("from the primary"));
    });
}

#[test]
fn read_on_a_broken_connection_is_retried() {
    let broken = Rc::new(RefCell::new(false));
    let respond = move |_, _| {
        let first = !broken.replace(true);
        std::future::ready(if first { MemberAction::Disconnect } else { MemberAction::Row("second".into()) })
    };
    run_with_members("reset", respond, |address, _program| async move {
        let mut client = connect_client(address, &[READ]).await;
        assert!(read_answer(&mut client).await.contains("second"));
    });
}

/// Guards against an attempt that continues after its client has left.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let received = Rc::new(Notify::new());
    let disconnected = Rc::new(Notify::new());
    let notify_received = received.clone();
    let notify_disconnected = disconnected.clone();
    let respond = move |_, _| {
        notify_received.notify_one();
        let notify_disconnected = notify_disconnected.clone();
        std::future::ready(MemberAction::NoReply(Box::new(move || notify_disconnected.notify_one())))
    };
    run_with_members("gone", respond, |address, _program| async move {
        let client = connect_client(address, &[READ]).await;
        received.notified().await;
        drop(client);
        disconnected.notified().await;
    });
}

/// Guards against a planned restart that loses accepted requests or never completes.
#[test]
fn stop_answers_accepted_requests_and_ends() {
    let received = Rc::new(Notify::new());
    let may_answer = Rc::new(Notify::new());
    let notify_received = received.clone();
    let wait_to_answer = may_answer.clone();
    let respond = move |_, _| {
        let notify_received = notify_received.clone();
        let wait_to_answer = wait_to_answer.clone();
        async move {
            notify_received.notify_one();
            wait_to_answer.notified().await;
            MemberAction::Row("kept".into())
        }
    };
    run_with_members("stop", respond, |address, program| async move {
        let mut idle = connect_client(address, &[]).await;
        let mut busy = connect_client(address, &[READ]).await;
        received.notified().await;
        program.signal("-TERM");
        may_answer.notify_one();
        assert!(read_answer(&mut busy).await.contains("kept"));
        assert_eq!(read_answer(&mut idle).await, "", "an idle connection is closed without a message");
        assert!(program.wait_for_exit().await.success());
    });
}

/// Guards against a reload that terminates the program, loses a connection, or keeps the old discovery address.
#[test]
fn a_reload_moves_discovery_and_keeps_the_rest() {
    let respond = |_, _| std::future::ready(MemberAction::Row("served".into()));
    run_with_members("reload", respond, |address, program| async move {
        let mut before = connect_client(address, &[READ]).await;
        assert!(read_answer(&mut before).await.contains("served"));
        program.wait_for_log("list version 2").await;
        let text = std::fs::read_to_string(&program.config).expect("read configuration");
        std::fs::write(&program.config, text.replace("\"discovery\":", "\"discovery\": 5, \"x\":"))
            .expect("write configuration");
        program.signal("-HUP");
        program.wait_for_log("the old configuration is kept: ").await;
        let old = text
            .split("\"discovery\": \"")
            .nth(1)
            .and_then(|t| t.split('"').next())
            .expect("discovery address");
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
            let new = listener.local_addr().expect("local address").to_string();
            std::fs::write(&program.config, text.replace(old, &new)).expect("write configuration");
            program.signal("-HUP");
            let (mut watch, _) = listener.accept().await.expect("accept watch");
            let mut head = [0; 64];
            let got = watch.read(&mut head).await.expect("read");
            assert!(head[..got].starts_with(b"GET /v1/endpoints?watch=1&from=2 "), "{head:?}");
        }
        program.wait_for_log("code=moved").await;
        before.write_all(&encode(&[query_command(READ)])).await.expect("write");
        assert!(
            read_answer(&mut before).await.contains("served"),
            "connections to clients and members are kept"
        );
        program.signal("-HUP");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
    });
}

/// Guards against running out of descriptors: a client over the limit is rejected, not left without an answer. Also
/// guards against counters that differ from what clients observed: each request counts by its outcome, each
/// connection by its close code.
#[test]
fn clients_over_the_limit_are_rejected_and_counted() {
    let gate = Rc::new(Semaphore::new(0));
    let member_gate = gate.clone();
    let respond = move |_, _| {
        let member_gate = member_gate.clone();
        async move {
            let _ = member_gate.acquire().await;
            MemberAction::Row("served".into())
        }
    };
    let config = CONFIG.replace("\"sockets\": 1024", "\"sockets\": 96");
    run_with_config("edge", &config, respond, |address, program| async move {
        let read = |n: usize| READ.replace("id=a1", &format!("id=a{n}"));
        let mut admitted = Vec::new();
        for n in 0..CLIENT_SLOTS {
            admitted.push(connect_client(address, &[&read(n)]).await);
        }
        for n in 0..3 {
            let mut rejected = connect_client(address, &[&read(CLIENT_SLOTS + n)]).await;
            let answer = read_answer(&mut rejected).await;
            assert!(answer.contains("C53300\0") && answer.contains("\0D"), "{answer:?}");
            assert_eq!(read_answer(&mut rejected).await, "", "the rejected connection is closed");
        }
        gate.add_permits(1_000);
        let (mut served, mut rejected) = (0, 3);
        for client in &mut admitted {
            // One connection per member is not enough for all requests: a request without one may be rejected.
            let answer = read_answer(client).await;
            served += u64::from(answer.contains("served"));
            rejected += u64::from(answer.contains("C53300\0"));
        }
        assert_eq!(served + rejected, 3 + CLIENT_SLOTS as u64);
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
        program.wait_for_log("counters taken").await;
        let log = program.log.lock().expect("lock log").clone();
        let line = log.lines().find(|l| l.contains("counters taken")).expect("line of counters");
        let count = |name: &str| -> u64 {
            let pairs = line.split(' ').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| n.starts_with(name)).filter_map(|(_, v)| v.parse::<u64>().ok()).sum()
        };
        assert_eq!([count("served"), count("refused_door"), count("failed")], [served, 3, 0], "{line}");
        let all = count("taken");
        assert_eq!([all, count("clients")], [3 + CLIENT_SLOTS as u64; 2], "{line}");
        let rejected_total = count("refused") - count("refused_");
        assert_eq!(rejected_total, rejected, "{line}");
        assert_eq!(count("ended_"), count("clients"), "{line}");
        assert_eq!(log.matches("closed client ").count() as u64, count("clients"));
    });
}

#[test]
fn protocol_errors_are_answered() {
    let respond = |_, _| std::future::ready(MemberAction::Row("served".into()));
    run_with_members("protocol", respond, |address, _program| async move {
        let mut client =
            connect_client(address, &["/* id=1,c=none,d=9 */ SELECT 1", "/* id=1,c=list */ SELECT 1"]).await;
        assert!(read_answer(&mut client).await.contains("field c"));
        assert!(read_answer(&mut client).await.contains("field d"));
        client.write_all(b"P\0\0\0\x08a\0b\0S\0\0\0\x04").await.expect("write");
        assert!(read_answer(&mut client).await.contains("C0A000\0"));
        client.write_all(&encode(&[query_command(READ)])).await.expect("write");
        assert!(read_answer(&mut client).await.contains("served"), "the connection was kept");
        client.write_all(b"Q\0\0\0\x01").await.expect("write");
        assert!(read_answer(&mut client).await.contains("C08P01\0"));
        assert_eq!(read_answer(&mut client).await, "", "the connection is closed after the error");
        let mut client = TcpStream::connect(address).await.expect("connect");
        client.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").await.expect("write");
        assert_eq!(client.read_u8().await.ok(), Some(b'N'));
    });
}

#[test]
fn bad_configuration_is_named_in_one_line() {
    let path = write_test_file("bad.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": []"));
    // This proxy's share of the fleet's budgets is not defined for a fleet of 0 proxies.
    let none = write_test_file("bad.zero.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": 0"));
    let field = "'settings.fleetSize'";
    for (config, words) in [(&path, field), (&none, field), (&path.with_extension("none"), "bad.none")] {
        let output = program_command(config).output().expect("run program");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && log.lines().count() == 1, "{log}");
        assert!(log.contains("bad.") && log.contains(words), "{log}");
    }
}
