//! An HTTP/1.1 answer as a stream of lines, whether its body is chunked or runs to the connection's end. A JSON
//! object may be indented over several lines and counts as one. A head, chunk header or line beyond its limit must
//! be an error, so that memory stays bounded.

use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use std::fmt;
use std::io;
use tokio_util::codec::Decoder;

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest header of a chunk, in bytes.
const MAX_CHUNK_SIZE_BYTES: usize = 64;
/// The largest line, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;
/// The most header fields of an answer.
const MAX_HEADERS: usize = 64;
/// What follows the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Why an answer can't be read.
#[derive(Debug)]
pub enum HttpError {
    /// The head is malformed or too long.
    MalformedHead,
    /// A chunk is malformed.
    MalformedChunk,
    /// A line is longer than any list.
    LineTooLong,
    /// A list breaks off, and the next line begins.
    UnfinishedList,
    /// The connection failed.
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
            HttpError::MalformedHead => write!(f, "malformed head of an answer"),
            HttpError::MalformedChunk => write!(f, "malformed chunk"),
            HttpError::LineTooLong => write!(f, "a line over {MAX_LINE_BYTES} bytes"),
            HttpError::UnfinishedList => write!(f, "a list without its end"),
            HttpError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for HttpError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            HttpError::Io(e) => Some(e),
            _ => None,
        }
    }
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The status code; the rest of the head is not kept.
    Status(u16),
    /// A line of the body without its end, or the lines over which one object is indented.
    Line(Bytes),
    /// The end of a chunked body.
    End,
}

/// What the next bytes of the answer are.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum DecoderState {
    #[default]
    Head,
    ChunkSize,
    /// So many bytes of the chunk are still to come.
    ChunkData(u64),
    ChunkEnd,
    /// A body without chunks, to the end of the connection.
    UnframedBody,
    Finished,
}

/// Finds the end of a line, or of a JSON object over several lines. Keeps its place between calls, so that no byte is
/// looked at twice.
#[derive(Default)]
struct LineScanner {
    /// Bytes looked at.
    position: usize,
    /// Objects and arrays that are open.
    depth: u32,
    is_in_string: bool,
    /// The byte before was a backslash within a string.
    is_escaped: bool,
    /// The line at hand has something other than white space.
    has_content: bool,
}

impl LineScanner {
    /// The length of the first complete line of `text`, without its end. Starts anew with the next one.
    fn find_end(&mut self, text: &[u8]) -> Result<Option<usize>, HttpError> {
        while let Some(byte) = text.get(self.position) {
            match (byte, self.is_in_string) {
                (b'\n', false) if self.depth == 0 => {
                    return Ok(Some(std::mem::take(self).position));
                }
                // No JSON string spans lines, and no object holds an empty line: this one was cut.
                (b'\n', in_string) if in_string || !self.has_content => {
                    return Err(HttpError::UnfinishedList);
                }
                (b'\n', _) => self.has_content = false,
                (_, true) if self.is_escaped => self.is_escaped = false,
                (b'\\', true) => self.is_escaped = true,
                (b'"', _) => self.is_in_string = !self.is_in_string,
                (_, true) => {}
                (b'{' | b'[', _) => self.depth = self.depth.saturating_add(1),
                (b'}' | b']', _) => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            self.has_content |= !byte.is_ascii_whitespace();
            self.position += 1;
        }
        Ok(None)
    }
}

/// Whether a step of the decoder got on.
enum Step {
    /// Bytes were consumed.
    Advanced,
    /// A part of the answer is complete.
    Part(ResponsePart),
    /// More bytes are needed.
    Starved,
}

/// Decodes the answer to a watch.
#[derive(Default)]
pub struct WatchCodec {
    state: DecoderState,
    /// Body bytes that are not yet a complete line.
    text: BytesMut,
    scanner: LineScanner,
}

impl Decoder for WatchCodec {
    type Item = ResponsePart;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        loop {
            if let Some(line) = self.take_line()? {
                return Ok(Some(ResponsePart::Line(line)));
            }
            match self.step(src)? {
                Step::Advanced => {}
                Step::Part(part) => return Ok(Some(part)),
                Step::Starved => return Ok(None),
            }
        }
    }

    /// A connection that ends amid a line is an end like any other: what is left is dropped.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        let part = self.decode(src)?;
        if part.is_none() {
            src.clear();
        }
        Ok(part)
    }
}

impl WatchCodec {
    /// Takes the first complete line off the body.
    fn take_line(&mut self) -> Result<Option<Bytes>, HttpError> {
        if let Some(end) = self.scanner.find_end(&self.text)? {
            let line = self.text.split_to(end).freeze();
            self.text.advance(1);
            return Ok(Some(line));
        }
        if self.text.len() > MAX_LINE_BYTES {
            return Err(HttpError::LineTooLong);
        }
        Ok(None)
    }

    fn step(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        match self.state {
            DecoderState::Head => self.read_head(src),
            DecoderState::ChunkSize => self.read_chunk_size(src),
            DecoderState::ChunkData(left) => Ok(self.read_chunk_data(src, left)),
            DecoderState::ChunkEnd => self.read_chunk_end(src),
            DecoderState::UnframedBody if src.is_empty() => Ok(Step::Starved),
            DecoderState::UnframedBody => {
                self.text.extend_from_slice(&src.split());
                Ok(Step::Advanced)
            }
            DecoderState::Finished => {
                src.clear();
                Ok(Step::Starved)
            }
        }
    }

    fn read_head(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(src).map_err(|_| HttpError::MalformedHead)? {
            Status::Partial if src.len() > MAX_HEAD_BYTES => return Err(HttpError::MalformedHead),
            Status::Partial => return Ok(Step::Starved),
            Status::Complete(length) => length,
        };
        let status = response.code.ok_or(HttpError::MalformedHead)?;
        let is_chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.to_ascii_lowercase().ends_with(b"chunked")
        });
        src.advance(length);
        self.state = if is_chunked { DecoderState::ChunkSize } else { DecoderState::UnframedBody };
        Ok(Step::Part(ResponsePart::Status(status)))
    }

    fn read_chunk_size(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        match httparse::parse_chunk_size(src).map_err(|_| HttpError::MalformedChunk)? {
            Status::Partial if src.len() > MAX_CHUNK_SIZE_BYTES => Err(HttpError::MalformedChunk),
            Status::Partial => Ok(Step::Starved),
            Status::Complete((_, 0)) => {
                self.state = DecoderState::Finished;
                Ok(Step::Part(ResponsePart::End))
            }
            Status::Complete((header_length, size)) => {
                src.advance(header_length);
                self.state = DecoderState::ChunkData(size);
                Ok(Step::Advanced)
            }
        }
    }

    fn read_chunk_data(&mut self, src: &mut BytesMut, left: u64) -> Step {
        let taken = src.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        if taken == 0 {
            return Step::Starved;
        }
        self.text.extend_from_slice(&src.split_to(taken));
        let left = left - taken as u64;
        self.state = if left == 0 { DecoderState::ChunkEnd } else { DecoderState::ChunkData(left) };
        Step::Advanced
    }

    fn read_chunk_end(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        if src.len() < CHUNK_END.len() {
            return Ok(Step::Starved);
        }
        if !src.starts_with(CHUNK_END) {
            return Err(HttpError::MalformedChunk);
        }
        src.advance(CHUNK_END.len());
        self.state = DecoderState::ChunkSize;
        Ok(Step::Advanced)
    }
}
