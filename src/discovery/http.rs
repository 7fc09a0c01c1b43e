//! An HTTP/1.1 answer as a stream of lines, whether its body is chunked or runs to the connection's end. A JSON object
//! may be indented over several lines: it is one item.

use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use std::fmt;
use std::io;
use tokio_util::codec::Decoder;

/// The largest head of an answer, chunk header and line that are taken.
const HEAD_MOST: usize = 16 * 1024;
const SIZE_MOST: usize = 64;
const LINE_MOST: usize = 1024 * 1024;
const HEADERS_MOST: usize = 64;

/// What is wrong with an answer.
#[derive(Debug)]
pub enum HttpError {
    /// The head can't be read.
    Head,
    /// A chunk can't be read.
    Chunk,
    /// A line is longer than any list.
    Line,
    /// A list breaks off, and the next line begins.
    Unfinished,
    /// The connection itself failed.
    Io(io::Error),
}

impl From<io::Error> for HttpError {
    fn from(e: io::Error) -> HttpError {
        HttpError::Io(e)
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            HttpError::Head => write!(f, "malformed head of an answer"),
            HttpError::Chunk => write!(f, "malformed chunk"),
            HttpError::Line => write!(f, "a line over {LINE_MOST} bytes"),
            HttpError::Unfinished => write!(f, "a list without its end"),
            HttpError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The status.
    Status(u16),
    /// A line of the body, without its end; or the lines over which one object is indented.
    Line(Bytes),
    /// The body is over.
    End,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    Size,
    Data(u64),
    DataEnd,
    Plain,
    Over,
}

/// How far a text has been looked at for its end: objects may span lines, outside of their texts.
#[derive(Default)]
struct Scan {
    at: usize,
    depth: u32,
    quoted: bool,
    escaped: bool,
    /// The line looked at holds something.
    filled: bool,
}

impl Scan {
    /// The length of the first whole item, without the line's end.
    fn item(&mut self, text: &[u8]) -> Result<Option<usize>, HttpError> {
        while let Some(byte) = text.get(self.at) {
            match (byte, self.quoted) {
                (b'\n', false) if self.depth == 0 => {
                    return Ok(Some(std::mem::take(self).at));
                }
                // No text of JSON goes over a line's end, and no object holds an empty line: this one was cut.
                (b'\n', quoted) if quoted || !self.filled => return Err(HttpError::Unfinished),
                (b'\n', _) => self.filled = false,
                (_, true) if self.escaped => self.escaped = false,
                (b'\\', true) => self.escaped = true,
                (b'"', _) => self.quoted = !self.quoted,
                (_, true) => {}
                (b'{' | b'[', _) => self.depth = self.depth.saturating_add(1),
                (b'}' | b']', _) => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            self.filled |= !byte.is_ascii_whitespace();
            self.at += 1;
        }
        Ok(None)
    }
}

/// The codec.
#[derive(Default)]
pub struct WatchCodec {
    state: State,
    text: BytesMut,
    scan: Scan,
}

impl Decoder for WatchCodec {
    type Item = ResponsePart;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        loop {
            if let Some(end) = self.scan.item(&self.text)? {
                let line = self.text.split_to(end).freeze();
                self.text.advance(1);
                return Ok(Some(ResponsePart::Line(line)));
            }
            if self.text.len() > LINE_MOST {
                return Err(HttpError::Line);
            }
            match self.state {
                State::Head => return self.head(src),
                State::Size => match httparse::parse_chunk_size(src).map_err(|_| HttpError::Chunk)? {
                    Status::Partial if src.len() > SIZE_MOST => return Err(HttpError::Chunk),
                    Status::Partial => return Ok(None),
                    Status::Complete((_, 0)) => {
                        self.state = State::Over;
                        return Ok(Some(ResponsePart::End));
                    }
                    Status::Complete((length, size)) => {
                        src.advance(length);
                        self.state = State::Data(size);
                    }
                },
                State::Data(left) => {
                    let part = src.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    if part == 0 {
                        return Ok(None);
                    }
                    self.text.extend_from_slice(&src.split_to(part));
                    let left = left - part as u64;
                    self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                }
                State::DataEnd => {
                    if src.len() < 2 {
                        return Ok(None);
                    }
                    if src[..2] != *b"\r\n" {
                        return Err(HttpError::Chunk);
                    }
                    src.advance(2);
                    self.state = State::Size;
                }
                State::Plain => {
                    if src.is_empty() {
                        return Ok(None);
                    }
                    self.text.extend_from_slice(&src.split());
                }
                State::Over => {
                    src.clear();
                    return Ok(None);
                }
            }
        }
    }

    /// An answer that ends amid a line has just ended.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

impl WatchCodec {
    fn head(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut answer = httparse::Response::new(&mut headers);
        let length = match answer.parse(src).map_err(|_| HttpError::Head)? {
            Status::Partial if src.len() > HEAD_MOST => return Err(HttpError::Head),
            Status::Partial => return Ok(None),
            Status::Complete(length) => length,
        };
        let status = answer.code.ok_or(HttpError::Head)?;
        let chunked = answer.headers.iter().any(|h| {
            h.name.eq_ignore_ascii_case("transfer-encoding")
                && h.value.to_ascii_lowercase().ends_with(b"chunked")
        });
        src.advance(length);
        self.state = if chunked { State::Size } else { State::Plain };
        Ok(Some(ResponsePart::Status(status)))
    }
}
