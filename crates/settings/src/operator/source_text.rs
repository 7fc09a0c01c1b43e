//! Positions in the text of the operators' file: which line a mistake is in, and what to pass over so that the text after it
//! is read as well.
//!
//! Nothing here knows the schema, and nothing here decides what is a mistake.

/// The line of a byte offset, from 1.
pub fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// The name that begins at a byte offset; empty if none does.
pub fn identifier_at(text: &str, offset: usize) -> String {
    let is_part_of_name = |c: &char| c.is_alphanumeric() || *c == '_';
    text.get(offset..).unwrap_or("").chars().take_while(is_part_of_name).collect()
}

/// The line, from 1, of the `index`th table or field of this name, counted from 0. Only one that begins its line is found.
pub fn line_of_field(text: &str, name: &str, index: usize) -> Option<usize> {
    let begins_field = |line: &str| {
        let rest = line.trim_start().strip_prefix(name);
        rest.is_some_and(|rest| rest.trim_start().starts_with(['{', ':']))
    };
    let mut lines = text.lines().enumerate().filter(|(_, line)| begins_field(line));
    lines.nth(index).map(|(before, _)| before + 1)
}

/// `text` with the field around a byte offset replaced by spaces, up to the end of its value, so that all offsets and lines
/// stay. `None` if nothing but spaces is there: blanking it again would make no progress.
pub fn without_field(text: &str, offset: usize) -> Option<String> {
    let start = field_start(text.as_bytes(), offset);
    let end = field_end(text.as_bytes(), start);
    // Both ends stand beside ASCII bytes or the ends of the text, so they are boundaries of characters.
    let (before, field, after) = (text.get(..start)?, text.get(start..end)?, text.get(end..)?);
    if field.bytes().all(|byte| byte.is_ascii_whitespace()) {
        return None;
    }
    let blank: String = field.bytes().map(|byte| if byte == b'\n' { '\n' } else { ' ' }).collect();
    Some([before, &blank, after].concat())
}

/// Where the field around an offset begins: after the last line break, opening brace or semicolon before it.
fn field_start(text: &[u8], offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    before.iter().rposition(|byte| matches!(byte, b'\n' | b'{' | b';')).map_or(0, |last| last + 1)
}

/// Where the field that begins at `start` ends: at the end of its line once its own braces are closed, or before the brace
/// that closes the table around it.
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
