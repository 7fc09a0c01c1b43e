//! Decodes an HTTP/1.1 response as a stream of lines; its body is either chunked or ends with the connection. A JSON
//! object that is indented over several lines counts as one line. The response head, a chunk header or a line beyond
//! its limit is an error, so that memory stays bounded.

use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use std::fmt;
use std::io;
use tokio_util::codec::Decoder;

/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest chunk header, in bytes.
const MAX_CHUNK_HEADER_BYTES: usize = 64;
/// The largest line, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;
/// The largest number of header fields in a response.
const MAX_HEADERS: usize = 64;
/// Terminates the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Why a response can't be decoded.
#[derive(Debug)]
pub enum HttpError {
    /// The response head is not valid HTTP/1.1.
    MalformedHead,
    /// The response head exceeds its limit. Carries the number of bytes received.
    HeadTooLong(usize),
    /// A chunk header is not a valid chunk size.
    MalformedChunkHeader,
    /// A chunk header exceeds its limit. Carries the number of bytes received.
    ChunkHeaderTooLong(usize),
    /// The data of a chunk is not followed by CR LF. Carries the bytes received there.
    UnterminatedChunk([u8; 2]),
    /// A line exceeds its limit. Carries the number of bytes received.
    LineTooLong(usize),
    /// A list is cut off: a line ends within a JSON string, or an object contains an empty line.
    TruncatedList,
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
            HttpError::MalformedHead => write!(f, "malformed HTTP response head"),
            HttpError::HeadTooLong(received) => {
                write!(f, "incomplete HTTP response head of {received} bytes, limit {MAX_HEAD_BYTES}")
            }
            HttpError::MalformedChunkHeader => write!(f, "malformed HTTP chunk header"),
            HttpError::ChunkHeaderTooLong(received) => {
                write!(f, "incomplete HTTP chunk header in {received} bytes, limit {MAX_CHUNK_HEADER_BYTES}")
            }
            HttpError::UnterminatedChunk(received) => {
                write!(f, "HTTP chunk data followed by {received:02x?}, expected CR LF")
            }
            HttpError::LineTooLong(received) => {
                write!(f, "line incomplete after {received} bytes, limit {MAX_LINE_BYTES}")
            }
            HttpError::TruncatedList => {
                write!(f, "list cut off: line end within a JSON string, or empty line within an object")
            }
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

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The status code; the rest of the head is not kept.
    Status(u16),
    /// A line of the body without its line end, or all lines of one indented object.
    Line(Bytes),
    /// The end of a chunked body.
    End,
}

/// The part of the response that comes next.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum DecoderState {
    #[default]
    Head,
    ChunkSize,
    /// Carries the number of bytes that remain in the chunk.
    ChunkData(u64),
    ChunkEnd,
    /// A body that is not chunked and ends with the connection.
    UnframedBody,
    Finished,
}

/// Finds the end of a line, or of a JSON object over several lines. Keeps its state between calls, so that each byte is
/// examined once.
#[derive(Default)]
struct LineScanner {
    /// Number of bytes examined.
    position: usize,
    /// Nesting depth of objects and arrays.
    depth: u32,
    is_in_string: bool,
    /// Within a string, the previous byte was an unescaped backslash.
    is_escaped: bool,
    /// The current line has a byte other than white space.
    has_content: bool,
}

impl LineScanner {
    /// The length of the first complete line of `text`, without its line end. Resets the scanner when it finds one.
    fn find_end(&mut self, text: &[u8]) -> Result<Option<usize>, HttpError> {
        while let Some(byte) = text.get(self.position) {
            match (byte, self.is_in_string) {
                (b'\n', false) if self.depth == 0 => {
                    return Ok(Some(std::mem::take(self).position));
                }
                // A JSON string never spans lines, and these objects contain no empty line: the list was cut off.
                (b'\n', in_string) if in_string || !self.has_content => {
                    return Err(HttpError::TruncatedList);
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

/// The result of one step of the decoder.
enum Step {
    /// Bytes were consumed.
    Advanced,
    /// A part of the response is complete.
    Part(ResponsePart),
    /// More bytes are needed.
    NeedsInput,
}

/// Decodes the response to a watch request.
#[derive(Default)]
pub struct WatchCodec {
    state: DecoderState,
    /// Received bytes of the body that have not been returned as lines.
    body: BytesMut,
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
                Step::NeedsInput => return Ok(None),
            }
        }
    }

    /// Drops an incomplete line at the end of the connection; that is not an error.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        let part = self.decode(src)?;
        if part.is_none() {
            src.clear();
        }
        Ok(part)
    }
}

impl WatchCodec {
    /// Removes the first complete line from the buffered body.
    fn take_line(&mut self) -> Result<Option<Bytes>, HttpError> {
        if let Some(end) = self.scanner.find_end(&self.body)? {
            let line = self.body.split_to(end).freeze();
            self.body.advance(1);
            return Ok(Some(line));
        }
        if self.body.len() > MAX_LINE_BYTES {
            return Err(HttpError::LineTooLong(self.body.len()));
        }
        Ok(None)
    }

    fn step(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        match self.state {
            DecoderState::Head => self.read_head(src),
            DecoderState::ChunkSize => self.read_chunk_size(src),
            DecoderState::ChunkData(remaining) => Ok(self.read_chunk_data(src, remaining)),
            DecoderState::ChunkEnd => self.read_chunk_end(src),
            DecoderState::UnframedBody if src.is_empty() => Ok(Step::NeedsInput),
            DecoderState::UnframedBody => {
                self.body.extend_from_slice(&src.split());
                Ok(Step::Advanced)
            }
            DecoderState::Finished => {
                src.clear();
                Ok(Step::NeedsInput)
            }
        }
    }

    fn read_head(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(src).map_err(|_| HttpError::MalformedHead)? {
            Status::Partial if src.len() > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLong(src.len())),
            Status::Partial => return Ok(Step::NeedsInput),
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
        match httparse::parse_chunk_size(src).map_err(|_| HttpError::MalformedChunkHeader)? {
            Status::Partial if src.len() > MAX_CHUNK_HEADER_BYTES => {
                Err(HttpError::ChunkHeaderTooLong(src.len()))
            }
            Status::Partial => Ok(Step::NeedsInput),
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

    fn read_chunk_data(&mut self, src: &mut BytesMut, remaining: u64) -> Step {
        let taken = src.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        if taken == 0 {
            return Step::NeedsInput;
        }
        self.body.extend_from_slice(&src.split_to(taken));
        let remaining = remaining - taken as u64;
        self.state = if remaining == 0 { DecoderState::ChunkEnd } else { DecoderState::ChunkData(remaining) };
        Step::Advanced
    }

    fn read_chunk_end(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        if src.len() < CHUNK_END.len() {
            return Ok(Step::NeedsInput);
        }
        if !src.starts_with(CHUNK_END) {
            return Err(HttpError::UnterminatedChunk([src[0], src[1]]));
        }
        src.advance(CHUNK_END.len());
        self.state = DecoderState::ChunkSize;
        Ok(Step::Advanced)
    }
}
