//! Tests of every parser of external input with valid input that is split at random, and with random bytes, from fixed
//! seeds. No input may cause a panic, and no result may depend on how a stream is split.

use bytes::{Bytes, BytesMut};
use linenhill::admin::call::{Call, CallCodec, parse_call};
use linenhill::config::{Config, LoadReason, Variables};
use linenhill::discovery::http::WatchCodec;
use linenhill::discovery::list;
use linenhill::hot_restart::saved;
use linenhill::pg::backend::{BackendCodec, BackendMessage};
use linenhill::pg::frontend::FrontendCodec;
use linenhill::pg::statement;
use linenhill::upstream::report;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::fmt::Debug;
use std::path::Path;
use tokio_util::codec::Decoder;

/// Decodes `parts` up to the first error. Returns the decoded items, and whether there was an error.
fn decode_all<D>(mut decoder: D, parts: &[&[u8]]) -> (Vec<String>, bool)
where
    D: Decoder,
    D::Item: Debug,
{
    let mut buffer = BytesMut::new();
    let mut items = Vec::new();
    for part in parts {
        buffer.extend_from_slice(part);
        loop {
            match decoder.decode(&mut buffer) {
                Ok(Some(item)) => items.push(format!("{item:?}")),
                Ok(None) => break,
                Err(_) => return (items, true),
            }
        }
    }
    let has_failed = decoder.decode_eof(&mut buffer).is_err();
    (items, has_failed)
}

/// Checks a parser of input in parts: its result must not depend on how the input is split, and neither random bytes
/// nor valid input with random bytes inserted may cause a panic.
fn check_parser<T: PartialEq + Debug>(seed: u64, valid: &[u8], parse: impl Fn(&[&[u8]]) -> T) {
    let mut random = Gen::from_size_and_seed(64, seed);
    let unsplit = parse(&[valid]);
    for _ in 0..200 {
        let mut rest = valid;
        let mut parts = Vec::new();
        while !rest.is_empty() {
            let split = usize::from(u8::arbitrary(&mut random)) % rest.len() + 1;
            let (part, after) = rest.split_at(split);
            parts.push(part);
            rest = after;
        }
        assert_eq!(parse(&parts), unsplit, "split as {parts:?}");
        let garbage = Vec::<u8>::arbitrary(&mut random);
        parse(&[&garbage]);
        let at = usize::arbitrary(&mut random) % (valid.len() + 1);
        parse(&[&valid[..at], &garbage, &valid[at..]]);
        parse(&[&valid[..at]]);
    }
}

/// Like [`check_parser`], for a parser that takes its complete input at once.
fn check_unsplit_parser<T: Debug>(seed: u64, valid: &[u8], parse: impl Fn(&[u8]) -> T) {
    check_parser(seed, valid, |parts| format!("{:?}", parse(&parts.concat())));
}

const QUERY: &[u8] =
    b"/* id=9b1f03aa5c7e2d41,c=own,d=480,cluster=2,after=1767225600123 */ SELECT val FROM state \
    WHERE uid = '7f3a9c21e0b4d655'";

fn typed_message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(4 + body.len() as u32).to_be_bytes()[..], body].concat()
}

fn client_stream() -> Vec<u8> {
    let startup = b"\0\0\0\x15\0\x03\0\0user\0client\0\0".to_vec();
    let query = typed_message(b'Q', &[QUERY, b"\0"].concat());
    [
        startup,
        query,
        typed_message(b'Q', b"\0"),
        typed_message(b'P', b"x"),
        typed_message(b'S', b""),
        typed_message(b'X', b""),
    ]
    .concat()
}

fn member_stream() -> Vec<u8> {
    let row = [b"\0\x01\0\0\0\x02".as_slice(), &[0x9f, 0x03]].concat();
    [
        typed_message(b'R', &[0; 4]),
        typed_message(b'Z', b"I"),
        typed_message(b'T', &[b"\0\x01val\0".as_slice(), &[0; 18]].concat()),
        typed_message(b'D', &row),
        typed_message(b'C', b"SELECT 1\0"),
        typed_message(b'S', b"lsn_ms\x001767225600123\0"),
        typed_message(b'E', b"SERROR\0C72000\0Mbehind\0\0"),
        typed_message(b'Z', b"I"),
    ]
    .concat()
}

const LIST: &[u8] = br#"{"version":43,"full":false,"servers":[{"id":"s-5be2a07c","addr":"127.1.0.18:6543",
    "zone":"a","kind":"m2","cell":3,"state":"terminating","weight":1.0,"started_ms":0}]}"#;

fn discovery_stream() -> Vec<u8> {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n".as_slice();
    let line = [&[LIST, b"\n"].concat()[..], b"\n"].concat();
    [head, format!("{:x}\r\n", line.len()).as_bytes(), &line, b"\r\n0\r\n\r\n"].concat()
}

/// Guards against results that depend on how the network splits a stream.
#[test]
fn streams_of_clients_members_and_discovery() {
    assert_eq!(decode_all(FrontendCodec::default(), &[&client_stream()]).0.len(), 6);
    // Eight messages, and the announcement of the row.
    assert_eq!(decode_all(BackendCodec::default(), &[&member_stream()]).0.len(), 9);
    assert!(decode_all(WatchCodec::default(), &[&discovery_stream()]).0.len() > 4);
    check_parser(1, &client_stream(), |parts| decode_all(FrontendCodec::default(), parts));
    check_parser(2, &member_stream(), |parts| decode_all(BackendCodec::default(), parts));
    check_parser(3, &discovery_stream(), |parts| decode_all(WatchCodec::default(), parts));
}

/// Guards against a panic, and against a truncated text that is accepted as complete.
#[test]
fn statements_lists_reports_and_configurations() {
    let config = include_bytes!("../examples/config.json");
    let parse = |text: &[u8]| {
        let text = String::from_utf8_lossy(text);
        let config = Config::parse(&text, Path::new("config.json"), Variables::default(), LoadReason::Start);
        config.map(|config| config.sockets).map_err(|error| error.to_string())
    };
    assert_eq!(parse(config), Ok(1_024));
    assert!(parse(&config[..config.len() - 2]).is_err());
    check_unsplit_parser(4, QUERY, |text| statement::parse(&Bytes::copy_from_slice(text)));
    check_unsplit_parser(5, LIST, list::decode);
    check_unsplit_parser(6, b"x0=1767225600.123,x1=1,util=0.61", |t| {
        report::parse(&String::from_utf8_lossy(t)).position
    });
    check_unsplit_parser(7, config, parse);
}

/// Guards against changes to a client's statement other than field d, which is set to the time left.
#[test]
fn only_d_is_written_anew() {
    fn is_same(before: u32, left: u64, key: u64) -> bool {
        let text =
            |deadline: u64| format!("/* id=a,c=order,d={deadline},k={key:x},cluster=2 */ INSERT 'x' 'd=1'");
        let decoded = statement::parse(&Bytes::from(text(u64::from(before))));
        decoded.is_ok_and(|r| r.timeout_ms == u64::from(before) && r.payload.render(left) == text(left))
    }
    let mut random = QuickCheck::new().rng(Gen::from_size_and_seed(64, 8)).tests(200);
    random.quickcheck(is_same as fn(u32, u64, u64) -> bool);
}

/// Guards against a length that makes the proxy reserve memory for a message that never arrives.
#[test]
fn lengths_out_of_bounds_are_errors_at_once() {
    for length in [0u32, 3, 1 << 24, u32::MAX] {
        let message = [b"Q", &length.to_be_bytes()[..]].concat();
        let (decoded, has_failed) = decode_all(FrontendCodec::default(), &[&client_stream()[..21], &message]);
        assert!(decoded == ["Startup"] && has_failed, "{length}");
        assert!(decode_all(BackendCodec::default(), &[&message]).1, "{length}");
        assert!(decode_all(FrontendCodec::default(), &[&length.to_be_bytes()]).1, "{length}");
    }
}

/// Guards against a long value that is buffered completely, or whose content depends on how the stream is split.
#[test]
fn long_value_is_passed_in_parts_whatever_the_cuts() {
    let value: Vec<u8> = (0..100_000u32).map(|n| (n % 251) as u8).collect();
    let length = value.len() as u32;
    let row =
        [b"D", &(length + 10).to_be_bytes()[..], &[0, 1], &length.to_be_bytes(), &value, b"Z\0\0\0\x05I"]
            .concat();
    let decode_parts = |splits: &[&[u8]]| {
        let mut codec = BackendCodec::default();
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        let mut largest = 0;
        let mut is_ready = false;
        for split in splits {
            buffer.extend_from_slice(split);
            while let Some(item) = codec.decode(&mut buffer).expect("valid row") {
                match item {
                    BackendMessage::LongRowHead(head) => assert_eq!(head[..], row[..11]),
                    BackendMessage::ValueChunk(part) => {
                        largest = largest.max(part.len());
                        received.extend_from_slice(&part);
                    }
                    item => is_ready = item == BackendMessage::ReadyForQuery,
                }
            }
        }
        assert!(largest <= 16 * 1024);
        (received, is_ready)
    };
    check_parser(
        9,
        &row,
        |splits| if splits.concat() == row { decode_parts(splits) } else { (value.clone(), true) },
    );
    assert_eq!(decode_parts(&[&row]), (value.clone(), true));
    let invalid = [b"D", &(length + 10).to_be_bytes()[..], &[0, 1], &(length - 1).to_be_bytes()].concat();
    assert!(
        decode_all(BackendCodec::default(), &[&invalid]).1,
        "row does not have exactly one column that fills it"
    );
}

/// Guards against an error text that does not name the invalid field.
#[test]
fn errors_name_the_field() {
    let statement =
        |text: &str| statement::parse(&Bytes::from(text.to_string())).map_err(|error| error.to_string());
    for (text, field) in [
        ("/* c=own,d=4 */ SELECT 1", "field id"),
        ("/* id=1,d=4 */ SELECT 1", "field c"),
        ("/* id=1,c=own */ SELECT 1", "field d"),
        ("/* id=1,c=own,d=soon */ SELECT 1", "field d"),
        ("/* id=1,c=own,d=1,cluster=-1 */ SELECT 1", "field cluster"),
        ("/* id=1,c=own,d=1,after=x */ SELECT 1", "field after"),
        ("SELECT 1", "comment"),
    ] {
        assert!(statement(text).is_err_and(|error| error.contains(field)), "{text}");
    }
    let config = include_str!("../examples/config.json");
    for (from, to, field) in [
        ("\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"x\"", "'seed'"),
        ("\"listen\": \"127.0.0.1:6543\",", "", "'listen'"),
        ("\"slo\": 500000", "\"slo\": \"soon\"", "'settings.classes[2].slo'"),
        ("\"limits\": {\"cancel\"", "\"limits\": 5, \"x\": {\"cancel\"", "'settings.limits'"),
        ("\"slo\": 500000", "\"slo\": -1", "'settings.classes[2].slo'"),
        ("\"limits\": {", "\"goal\": {\"worstClass\": 2}, \"limits\": {", "'settings.goal.worstClass'"),
        ("\"cell\": 1,", "\"cell\": [],", "'known.servers[0].cell'"),
        ("\"addr\": \"127.0.0.1:7002\"", "\"addr\": \"here\"", "'known.servers[1].addr'"),
        ("\"name\": \"toy\"", "name", "JSON"),
    ] {
        let text = config.replace(from, to);
        let error =
            Config::parse(&text, Path::new("config.json"), Variables::default(), LoadReason::Start).err();
        let error = error.map(|error| error.to_string()).unwrap_or_default();
        assert!(error.starts_with("config.json: ") && error.contains(field), "{field}: {error}");
        assert!(!error.contains('\n'));
    }
}

/// Guards against a call that is decoded as another one, however it is split, and against a saved file that is used
/// although it is truncated, damaged or not written by the program.
#[test]
fn calls_and_saved_files_are_read_complete_or_not_at_all() {
    let valid = b"POST /maintenance/enter?name=s%2D1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    check_parser(31, valid, |parts| decode_all(CallCodec, parts));
    assert_eq!(decode_all(CallCodec, &[valid]).0, ["EnterMaintenance { member: \"s-1\", is_forced: false }"]);
    let call_or_status = |line: &str| parse_call("POST", line).map_err(|error| error.status());
    assert_eq!(
        call_or_status("/maintenance/exit?name=a+b%7e"),
        Ok(Call::ExitMaintenance { member: "a b~".into() })
    );
    for invalid in
        ["", "?name=", "?name=a&name=b", "?name=%f", "?name=%zz", "?name=%00", "?nam=a", "?name=a&x=1"]
    {
        assert_eq!(call_or_status(&format!("/maintenance/enter{invalid}")), Err(400), "{invalid}");
    }
    assert_eq!(
        call_or_status("/maintenance/enter?force=1&name=a"),
        Ok(Call::EnterMaintenance { member: "a".into(), is_forced: true })
    );
    assert_eq!(call_or_status("/standby?force=1"), Ok(Call::Standby { is_forced: true }));
    assert_eq!(call_or_status("/standby?force=yes"), Err(400));
    let long = format!("/maintenance/enter?name={}", "a".repeat(300));
    assert_eq!(call_or_status(&long), Err(400));
    for (head, status) in [
        ("Content-Length: 99999999999999999999\r\n", 413),
        ("Content-Length: 3\r\nContent-Length: 4\r\n", 411),
        ("Content-Length: +3\r\n", 411),
        ("Transfer-Encoding: chunked\r\n", 411),
    ] {
        let mut request = BytesMut::from(format!("GET /status HTTP/1.1\r\n{head}\r\nabcd").as_bytes());
        assert_eq!(
            CallCodec.decode(&mut request).map_err(|error| error.status()).err(),
            Some(status),
            "{head}"
        );
    }
    let text = r#"[{"id":"a","out":true,"at_us":5}]"#;
    let sealed = saved::seal(text);
    assert_eq!(saved::unseal(sealed.as_bytes()).ok(), Some(text));
    check_unsplit_parser(32, sealed.as_bytes(), |bytes| saved::unseal(bytes).ok().map(str::to_string));
    for at in 0..sealed.len() {
        assert!(saved::unseal(&sealed.as_bytes()[..at]).is_err(), "truncated at byte {at}");
        let mut flipped = sealed.clone().into_bytes();
        flipped[at] ^= 0x11;
        assert!(saved::unseal(&flipped).is_err(), "changed at byte {at}");
    }
}

/// Guards against a reload that keeps the discovery address of the environment variable, and against a start that
/// ignores the variable.
#[test]
fn at_a_reload_the_files_discovery_overrides_the_variable() {
    let config = include_str!("../examples/config.json");
    let without = config.replace("\"discovery\": \"127.0.0.1:8500\",", "");
    let discovery_port = |text: &str, reason| {
        let variables = Variables { discovery: Some("127.0.0.1:1".into()), ..Variables::default() };
        Config::parse(text, Path::new("config.json"), variables, reason)
            .map(|config| config.discovery.port())
            .ok()
    };
    assert_eq!(discovery_port(config, LoadReason::Start), Some(1));
    assert_eq!(discovery_port(config, LoadReason::Reload), Some(8500));
    assert_eq!(discovery_port(&without, LoadReason::Reload), Some(1));
}
