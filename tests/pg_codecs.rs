//! The bytes that the codecs of PostgreSQL's protocol write, and the errors for input that they reject. Clients and
//! members of any version rely on both.

use bytes::{BufMut, Bytes, BytesMut};
use linenhill::pg::backend::{BackendCodec, BackendMessage, Command};
use linenhill::pg::frontend::{FrontendCodec, FrontendMessage, Reply};
use linenhill::pg::{
    MAX_BUFFERED_VALUE_BYTES, MAX_MESSAGE_BYTES, MAX_ORDINARY_MESSAGE_BYTES, MAX_VALUE_BYTES,
};
use std::fmt::Debug;
use tokio_util::codec::{Decoder, Encoder};

const STARTUP: &[u8] = b"\0\0\0\x08\0\x03\0\0";

fn message(message_type: u8, body: &[u8]) -> Vec<u8> {
    let mut message = vec![message_type];
    message.put_u32(4 + body.len() as u32);
    message.put_slice(body);
    message
}

fn reply_bytes(reply: Reply) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    FrontendCodec::default().encode(reply, &mut bytes).expect("encoded");
    bytes.to_vec()
}

fn command_bytes(command: Command) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    BackendCodec::default().encode(command, &mut bytes).expect("encoded");
    bytes.to_vec()
}

/// Decodes all messages in `input`; also returns the text of the error that ends decoding, if any.
fn decode_all<D>(mut codec: D, input: &[u8]) -> (Vec<D::Item>, Option<String>)
where
    D: Decoder,
    D::Error: ToString,
{
    let mut buffer = BytesMut::from(input);
    let mut messages = Vec::new();
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => return (messages, None),
            Err(error) => return (messages, Some(error.to_string())),
        }
    }
}

/// The text of the error that `input` causes; panics if there is none.
fn error_of<D>(codec: D, input: &[u8]) -> String
where
    D: Decoder,
    D::Item: Debug,
    D::Error: ToString,
{
    let (messages, error) = decode_all(codec, input);
    error.unwrap_or_else(|| panic!("{input:?} decodes to {messages:?} without an error"))
}

fn client_error(message: &[u8]) -> String {
    error_of(FrontendCodec::default(), &[STARTUP, message].concat())
}

fn member_error(message: &[u8]) -> String {
    error_of(BackendCodec::default(), message)
}

// Guards against a reply that clients can't decode.
#[test]
fn replies_are_written_byte_for_byte() {
    assert_eq!(reply_bytes(Reply::NoEncryption), b"N");
    assert_eq!(
        reply_bytes(Reply::SessionOpened),
        [
            b"R\0\0\0\x08\0\0\0\0".as_slice(),
            b"S\0\0\0\x18server_version\x0015.0\0",
            b"S\0\0\0\x19client_encoding\0UTF8\0",
            b"S\0\0\0\x17DateStyle\0ISO, MDY\0",
            b"K\0\0\0\x0c\0\0\0\0\0\0\0\0",
        ]
        .concat()
    );
    assert_eq!(reply_bytes(Reply::ReadyForQuery), b"Z\0\0\0\x05I");
    assert_eq!(reply_bytes(Reply::EmptyQueryResponse), b"I\0\0\0\x04");
    assert_eq!(reply_bytes(Reply::Raw(Bytes::from_static(b"as it is"))), b"as it is");
    let error = |fatal, detail: Option<&str>| {
        let (message, detail) = ("refused".to_string(), detail.map(str::to_string));
        reply_bytes(Reply::Error { fatal, code: "53300", message, detail })
    };
    let without_detail = message(b'E', b"SERROR\0VERROR\0C53300\0Mrefused\0\0");
    assert_eq!(error(false, None), without_detail);
    let with_detail = message(b'E', b"SFATAL\0VFATAL\0C53300\0Mrefused\0D250\0\0");
    assert_eq!(error(true, Some("250")), with_detail);
}

// Guards against a command that members can't decode.
#[test]
fn commands_are_written_byte_for_byte() {
    let startup = b"\0\0\0\x26\0\x03\0\0user\0linenhill\0database\0core\0\0";
    assert_eq!(command_bytes(Command::Startup), startup);
    let query = command_bytes(Command::Query(Bytes::from_static(b"SHOW health")));
    assert_eq!(query, b"Q\0\0\0\x10SHOW health\0");
}

// Guards against a change of the error texts that clients receive.
#[test]
fn errors_of_clients_messages_say_what_is_wrong() {
    for (startup, error) in [
        (&b"\0\0\0\x07"[..], "invalid message length 7"),
        (b"\0\0\x27\x11", "invalid message length 10001"),
        (b"\0\0\0\x08\0\x02\0\0", "malformed message: unsupported protocol version"),
    ] {
        assert_eq!(error_of(FrontendCodec::default(), startup), error);
    }
    let too_long =
        |message_type: u8, length: usize| [&[message_type], &(length as u32).to_be_bytes()[..]].concat();
    for (message, error) in [
        (message(b'z', b""), "invalid message type 122".to_string()),
        (message(b'X', b"x"), "invalid message length 5".to_string()),
        (message(b'Q', b"SELECT 1"), "malformed message: unterminated text".to_string()),
        (message(b'Q', b"a\0b\0"), "malformed message: more than one text in a query".to_string()),
        (too_long(b'Q', MAX_MESSAGE_BYTES + 1), format!("invalid message length {}", MAX_MESSAGE_BYTES + 1)),
        (
            too_long(b'P', MAX_ORDINARY_MESSAGE_BYTES + 1),
            format!("invalid message length {}", MAX_ORDINARY_MESSAGE_BYTES + 1),
        ),
    ] {
        assert_eq!(client_error(&message), error);
    }
}

// Guards against a malformed message of a member that is forwarded to a client or counts as an answer.
#[test]
fn errors_of_members_messages_say_what_is_wrong() {
    let long_value = MAX_BUFFERED_VALUE_BYTES as u32 + 1;
    let row_length = (10 + long_value).to_be_bytes();
    let two_columns = [b"D", &row_length[..], b"\0\x02", &long_value.to_be_bytes()].concat();
    let value_too_long = [b"D", &(11 + MAX_VALUE_BYTES as u32).to_be_bytes()[..]].concat();
    for (message, error) in [
        (message(b'q', b""), "invalid message type 113"),
        (message(b'Z', b""), "invalid message length 4"),
        (value_too_long, "invalid message length 4194315"),
        (
            message(b'R', &[0, 0, 0, 3]),
            "malformed message: authentication required, expected AuthenticationOk",
        ),
        (message(b'T', b"\0\x02a\0"), "malformed message: row description is not of exactly one column"),
        (message(b'T', b"\0\x01val"), "malformed message: unterminated text"),
        (message(b'D', b"\0\x02\0\0\0\0"), "malformed message: row does not have exactly one column"),
        (
            message(b'D', b"\0\x01\xff\xff\xff\xff"),
            "malformed message: length of the column does not match the rest of its row",
        ),
        (two_columns, "malformed message: row does not have exactly one column that fills it"),
        (message(b'C', b"\0"), "malformed message: tag of CommandComplete is not one printable text"),
        (message(b'E', b"SERROR\0\0"), "malformed message: ErrorResponse without a valid SQLSTATE"),
        (message(b'E', b"C53300\0\0x"), "malformed message: ErrorResponse without a valid SQLSTATE"),
        (message(b'Z', b"T"), "malformed message: ReadyForQuery has transaction status T, expected I (idle)"),
    ] {
        assert_eq!(member_error(&message), error);
    }
}

// Guards against client messages that end a session although the protocol allows it to continue.
#[test]
fn messages_of_clients_are_distinguished() {
    let messages_by_type = [
        (b'P', FrontendMessage::Extended(b'P')),
        (b'H', FrontendMessage::Extended(b'H')),
        (b'F', FrontendMessage::Extended(b'F')),
        (b'S', FrontendMessage::Sync),
        (b'd', FrontendMessage::Copy),
        (b'c', FrontendMessage::Copy),
        (b'f', FrontendMessage::Copy),
        (b'X', FrontendMessage::Terminate),
    ];
    let input: Vec<u8> =
        messages_by_type.iter().flat_map(|(message_type, _)| message(*message_type, b"")).collect();
    let (messages, error) = decode_all(FrontendCodec::default(), &[STARTUP, &input].concat());
    assert_eq!(error, None);
    let expected: Vec<FrontendMessage> = messages_by_type.into_iter().map(|(_, message)| message).collect();
    assert_eq!(messages[0], FrontendMessage::Startup);
    assert_eq!(messages[1..], expected[..]);
    for code in [80_877_103u32, 80_877_104] {
        let request = [&8u32.to_be_bytes()[..], &code.to_be_bytes()].concat();
        let (messages, error) = decode_all(FrontendCodec::default(), &request);
        assert_eq!((messages, error), (vec![FrontendMessage::EncryptionRequest], None));
    }
    let cancel = b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0";
    let (messages, _) = decode_all(FrontendCodec::default(), cancel);
    assert_eq!(messages, [FrontendMessage::CancelRequest]);
}

// Guards against a malformed parameter or a notice that breaks a member's connection.
#[test]
fn messages_of_members_that_are_not_used_are_ignored() {
    let input = [
        message(b'S', b"lsn_ms\0"),
        message(b'S', b"a\0b\0c"),
        message(b'N', b"anything"),
        message(b'K', &[0; 8]),
        message(b'A', b""),
        message(b'v', b""),
    ]
    .concat();
    let (messages, error) = decode_all(BackendCodec::default(), &input);
    assert_eq!((messages, error), (vec![BackendMessage::Ignored; 6], None));
    // The answer to an empty query is not ignored: it shows where the reply before it ends.
    let (messages, error) = decode_all(BackendCodec::default(), &message(b'I', b""));
    assert_eq!((messages, error), (vec![BackendMessage::EmptyQueryResponse], None));
}
