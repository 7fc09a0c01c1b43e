//! Positions in the text of the operators' file: the line of a mistake, and the extent of an invalid field that is
//! blanked so that the text after it can be parsed. This module does not depend on the schema and does not decide what
//! is a mistake.

/// The line of a byte offset, counted from 1.
pub fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// The identifier that begins at a byte offset; empty if there is none.
pub fn identifier_at(text: &str, offset: usize) -> String {
    let is_part_of_name = |c: &char| c.is_alphanumeric() || *c == '_';
    text.get(offset..).unwrap_or("").chars().take_while(is_part_of_name).collect()
}

/// The line, from 1, of the `index`th table or field `name`, from 0. Only those at the beginning of a line are counted.
pub fn line_of_field(text: &str, name: &str, index: usize) -> Option<usize> {
    let begins_field = |line: &str| {
        let rest = line.trim_start().strip_prefix(name);
        rest.is_some_and(|rest| rest.trim_start().starts_with(['{', ':']))
    };
    let mut lines = text.lines().enumerate().filter(|(_, line)| begins_field(line));
    lines.nth(index).map(|(before, _)| before + 1)
}

/// `text` with the field around a byte offset replaced by spaces, including its value, so that offsets and lines do not
/// change. `None` if the field is already blank, since another pass would make no progress.
pub fn without_field(text: &str, offset: usize) -> Option<String> {
    let start = field_start(text.as_bytes(), offset);
    let end = field_end(text.as_bytes(), start);
    // Both ends are next to ASCII bytes or the ends of the text, so they are character boundaries.
    let (before, field, after) = (text.get(..start)?, text.get(start..end)?, text.get(end..)?);
    if field.bytes().all(|byte| byte.is_ascii_whitespace()) {
        return None;
    }
    let blank: String = field.bytes().map(|byte| if byte == b'\n' { '\n' } else { ' ' }).collect();
    Some([before, &blank, after].concat())
}

/// The start of the field around an offset: after the last line break, opening brace or semicolon before the offset.
fn field_start(text: &[u8], offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    before.iter().rposition(|byte| matches!(byte, b'\n' | b'{' | b';')).map_or(0, |last| last + 1)
}

/// The end of the field that begins at `start`: the first end of a line at which all its braces are closed, the brace
/// that closes the enclosing table, or the end of the text.
fn field_end(text: &[u8], start: usize) -> usize {
    let mut depth = 0;
    let mut is_quoted = false;
    for (position, byte) in text.iter().enumerate().skip(start) {
        match byte {
            b'"' => is_quoted = !is_quoted,
            b'{' if !is_quoted => depth += 1,
            b'}' if !is_quoted && depth == 0 => return position,
            b'}' if !is_quoted => depth -= 1,
            b'\n' if depth == 0 => return position,
            _ => {}
        }
    }
    text.len()
}
