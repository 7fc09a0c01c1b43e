//! The program itself against scripted members, discovery and clients. Nothing here looks at a clock: each
//! step waits for what the one before brings about.

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

/// Places for clients that are served, of 96 descriptors.
const CLIENT_PLACES: usize = 45;

#[test]
fn queries_are_served_in_their_order_with_only_d_rewritten() {
    let statements = Rc::new(RefCell::new(Vec::new()));
    let received = statements.clone();
    let act = move |member: usize, statement: String| {
        received.borrow_mut().push(statement.clone());
        let is_rejected = statement.contains("INSERT") && member > 0;
        let reply = if is_rejected {
            MemberAction::Error("25006")
        } else {
            MemberAction::Row(statement[..8].to_string())
        };
        std::future::ready(reply)
    };
    run_with_members("served", act, |address, _program| async move {
        let mut client = connect_client(address, &["", READ, WRITE]).await;
        assert!(read_answer(&mut client).await.starts_with('I'), "the empty query comes first");
        assert!(read_answer(&mut client).await.contains("/* id=a1"));
        assert!(read_answer(&mut client).await.contains("/* id=a2"));
        let without_d = |statement: &str| {
            let (head, tail) = statement.split_once(",d=").expect("d");
            (head.to_string(), tail.split_once(',').expect("more").1.to_string())
        };
        let wanted = [without_d(READ), without_d(WRITE)];
        let statements = statements.borrow();
        assert!(statements.iter().all(|statement| wanted.contains(&without_d(statement))), "{statements:?}");
    });
}

/// Guards against long values that are changed, gathered in memory or lost on their way, in either direction; with 12 MB
/// for long messages three of 6 MB must wait for each other.
#[test]
fn long_values_pass_both_ways_complete() {
    let long: String = (0..3_000_000u32).map(|n| char::from(b'a' + (n % 23) as u8)).collect();
    let value = long.clone();
    let sent = Rc::new(RefCell::new(Vec::new()));
    let received = sent.clone();
    let act = move |member: usize, statement: String| {
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
    run_with_config("long", &config, act, |address, _program| async move {
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
        assert!(sent.iter().zip(&statements).all(is_same), "only d is written anew");
    });
}

/// Guards against a value that is cut off and looks complete, and against a second attempt after the first byte passed.
#[test]
fn cut_off_long_value_ends_the_connection_without_retry() {
    let attempts = Rc::new(RefCell::new(0));
    let count = attempts.clone();
    let act = move |_, _| {
        *count.borrow_mut() += 1;
        std::future::ready(MemberAction::TruncatedRow("v".repeat(1_000_000)))
    };
    run_with_members("torn", act, |address, program| async move {
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

/// Guards against a refusal that doesn't say when to come back, and against failures dressed as refusals.
#[test]
fn rejections_carry_retry_after_and_unknown_outcomes_fail() {
    let act = |_, statement: String| {
        std::future::ready(MemberAction::Error(if statement.contains("INSERT") { "XX000" } else { "53300" }))
    };
    run_with_members("refused", act, |address, _program| async move {
        let mut client = connect_client(address, &[READ, WRITE]).await;
        let refused = read_answer(&mut client).await;
        let advice = refused.split("\0D").nth(1).and_then(|d| d.split('\0').next()).expect("a field D");
        assert!(refused.contains("C53300\0") && advice.parse::<u64>().is_ok_and(|ms| ms > 0), "{refused:?}");
        let failed = read_answer(&mut client).await;
        assert!(failed.contains("C08007\0"), "{failed:?}");
    });
}

#[test]
fn read_rejected_by_every_replica_runs_on_the_primary() {
    let act = |member, statement: String| {
        let is_write = statement.contains("INSERT");
        std::future::ready(match member {
            0 => MemberAction::Row("from the primary".into()),
            _ if is_write => MemberAction::Error("25006"),
            _ => MemberAction::Error("72000"),
        })
    };
    run_with_members("miss", act, |address, _program| async move {
        let mut client = connect_client(address, &[WRITE, READ]).await;
        assert!(read_answer(&mut client).await.contains("from the primary"));
        assert!(read_answer(&mut client).await.contains("from the primary"));
    });
}

#[test]
fn read_on_a_broken_connection_is_retried() {
    let broken = Rc::new(RefCell::new(false));
    let act = move |_, _| {
        let first = !broken.replace(true);
        std::future::ready(if first { MemberAction::Disconnect } else { MemberAction::Row("second".into()) })
    };
    run_with_members("reset", act, |address, _program| async move {
        let mut client = connect_client(address, &[READ]).await;
        assert!(read_answer(&mut client).await.contains("second"));
    });
}

/// Guards against work that goes on for a client that is gone.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let received = Rc::new(Notify::new());
    let hung_up = Rc::new(Notify::new());
    let notify_received = received.clone();
    let notify_hung_up = hung_up.clone();
    let act = move |_, _| {
        notify_received.notify_one();
        let notify_hung_up = notify_hung_up.clone();
        std::future::ready(MemberAction::NoReply(Box::new(move || notify_hung_up.notify_one())))
    };
    run_with_members("gone", act, |address, _program| async move {
        let client = connect_client(address, &[READ]).await;
        received.notified().await;
        drop(client);
        hung_up.notified().await;
    });
}

/// Guards against a planned restart that loses accepted requests, or that is never over.
#[test]
fn stop_answers_accepted_requests_and_ends() {
    let received = Rc::new(Notify::new());
    let may_answer = Rc::new(Notify::new());
    let notify_received = received.clone();
    let wait_to_answer = may_answer.clone();
    let act = move |_, _| {
        let notify_received = notify_received.clone();
        let wait_to_answer = wait_to_answer.clone();
        async move {
            notify_received.notify_one();
            wait_to_answer.notified().await;
            MemberAction::Row("kept".into())
        }
    };
    run_with_members("stop", act, |address, program| async move {
        let mut idle = connect_client(address, &[]).await;
        let mut busy = connect_client(address, &[READ]).await;
        received.notified().await;
        program.signal("-TERM");
        may_answer.notify_one();
        assert!(read_answer(&mut busy).await.contains("kept"));
        assert_eq!(read_answer(&mut idle).await, "", "between requests a connection is just closed");
        assert!(program.wait_for_exit().await.success());
    });
}

/// Guards against a reload that ends the program, loses a connection, or leaves discovery where it was.
#[test]
fn a_reload_moves_discovery_and_keeps_the_rest() {
    let act = |_, _| std::future::ready(MemberAction::Row("served".into()));
    run_with_members("reload", act, |address, program| async move {
        let mut before = connect_client(address, &[READ]).await;
        assert!(read_answer(&mut before).await.contains("served"));
        program.wait_for_log("list version 2").await;
        let text = std::fs::read_to_string(&program.config).expect("the file");
        std::fs::write(&program.config, text.replace("\"discovery\":", "\"discovery\": 5, \"x\":"))
            .expect("a file");
        program.signal("-HUP");
        program.wait_for_log("the old configuration is kept: ").await;
        let old = text.split("\"discovery\": \"").nth(1).and_then(|t| t.split('"').next()).expect("it");
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let new = listener.local_addr().expect("an address").to_string();
            std::fs::write(&program.config, text.replace(old, &new)).expect("a file");
            program.signal("-HUP");
            let (mut call, _) = listener.accept().await.expect("a call");
            let mut head = [0; 64];
            let got = call.read(&mut head).await.expect("read");
            assert!(head[..got].starts_with(b"GET /v1/endpoints?watch=1&from=2 "), "{head:?}");
        }
        program.wait_for_log("code=moved").await;
        before.write_all(&encode(&[query_command(READ)])).await.expect("written");
        assert!(read_answer(&mut before).await.contains("served"), "clients and members stay");
        program.signal("-HUP");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
    });
}

/// Guards against running out of descriptors: past its part a client is rejected, not left without an answer. And
/// against counters that miss what clients saw: every request by its end, every connection by its close code.
#[test]
fn clients_over_the_limit_are_rejected_and_counted() {
    let gate = Rc::new(Semaphore::new(0));
    let member_gate = gate.clone();
    let act = move |_, _| {
        let member_gate = member_gate.clone();
        async move {
            let _ = member_gate.acquire().await;
            MemberAction::Row("served".into())
        }
    };
    let config = CONFIG.replace("\"sockets\": 1024", "\"sockets\": 96");
    run_with_config("edge", &config, act, |address, program| async move {
        let read = |n: usize| READ.replace("id=a1", &format!("id=a{n}"));
        let mut inside = Vec::new();
        for n in 0..CLIENT_PLACES {
            inside.push(connect_client(address, &[&read(n)]).await);
        }
        for n in 0..3 {
            let mut refused = connect_client(address, &[&read(CLIENT_PLACES + n)]).await;
            let answer = read_answer(&mut refused).await;
            assert!(answer.contains("C53300\0") && answer.contains("\0D"), "{answer:?}");
            assert_eq!(read_answer(&mut refused).await, "", "the refused connection ends");
        }
        gate.add_permits(1_000);
        let (mut served, mut refused) = (0, 3);
        for client in &mut inside {
            // One connection a member is not enough for all: a request that finds none may be rejected.
            let answer = read_answer(client).await;
            served += u64::from(answer.contains("served"));
            refused += u64::from(answer.contains("C53300\0"));
        }
        assert_eq!(served + refused, 3 + CLIENT_PLACES as u64);
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
        program.wait_for_log("counters taken").await;
        let log = program.log.lock().expect("the log").clone();
        let line = log.lines().find(|l| l.contains("counters taken")).expect("a line");
        let count = |name: &str| -> u64 {
            let pairs = line.split(' ').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| n.starts_with(name)).filter_map(|(_, v)| v.parse::<u64>().ok()).sum()
        };
        assert_eq!([count("served"), count("refused_door"), count("failed")], [served, 3, 0], "{line}");
        let all = count("taken");
        assert_eq!([all, count("clients")], [3 + CLIENT_PLACES as u64; 2], "{line}");
        let refused_in_all = count("refused") - count("refused_");
        assert_eq!(refused_in_all, refused, "{line}");
        assert_eq!(count("ended_"), count("clients"), "{line}");
        assert_eq!(log.matches("closed client ").count() as u64, count("clients"));
    });
}

#[test]
fn protocol_errors_are_answered() {
    let act = |_, _| std::future::ready(MemberAction::Row("served".into()));
    run_with_members("protocol", act, |address, _program| async move {
        let mut client =
            connect_client(address, &["/* id=1,c=none,d=9 */ SELECT 1", "/* id=1,c=list */ SELECT 1"]).await;
        assert!(read_answer(&mut client).await.contains("field c"));
        assert!(read_answer(&mut client).await.contains("field d"));
        client.write_all(b"P\0\0\0\x08a\0b\0S\0\0\0\x04").await.expect("written");
        assert!(read_answer(&mut client).await.contains("C0A000\0"));
        client.write_all(&encode(&[query_command(READ)])).await.expect("written");
        assert!(read_answer(&mut client).await.contains("served"), "the connection was kept");
        client.write_all(b"Q\0\0\0\x01").await.expect("written");
        assert!(read_answer(&mut client).await.contains("C08P01\0"));
        assert_eq!(read_answer(&mut client).await, "", "and then it ends");
        let mut client = TcpStream::connect(address).await.expect("a connection");
        client.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").await.expect("written");
        assert_eq!(client.read_u8().await.ok(), Some(b'N'));
    });
}

#[test]
fn bad_configuration_is_named_in_one_line() {
    let path = write_test_file("bad.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": []"));
    // With no proxy in the fleet a part of what all may do would be a part of nothing.
    let none = write_test_file("bad.zero.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": 0"));
    let field = "'settings.fleetSize'";
    for (config, words) in [(&path, field), (&none, field), (&path.with_extension("none"), "bad.none")] {
        let output = program_command(config).output().expect("the program");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && log.lines().count() == 1, "{log}");
        assert!(log.contains("bad.") && log.contains(words), "{log}");
    }
}
