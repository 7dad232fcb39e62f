//! A small JSON reader and writer for the bodies of the store and the heartbeats.
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        if let Json::Table(rows) = self {
            for (name, value) in rows {
                if name == key {
                    return value;
                }
            }
        }
        &Json::Null
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self {
            *number as u64
        } else {
            0
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self {
            items
        } else {
            &[]
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> Json {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    value(&chars, &mut at)
}

fn skip(c: &[char], at: &mut usize) {
    while *at < c.len() && (c[*at].is_whitespace() || c[*at] == ',' || c[*at] == ':') {
        *at += 1;
    }
}

fn value(c: &[char], at: &mut usize) -> Json {
    skip(c, at);
    match c.get(*at) {
        Some('{') => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(c, at);
                if *at >= c.len() || c[*at] == '}' {
                    *at += 1;
                    return Json::Table(rows);
                }
                let key = value(c, at).text().to_owned();
                rows.push((key, value(c, at)));
            }
        }
        Some('[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(c, at);
                if *at >= c.len() || c[*at] == ']' {
                    *at += 1;
                    return Json::List(items);
                }
                items.push(value(c, at));
            }
        }
        Some('"') => {
            *at += 1;
            let mut text = String::new();
            while *at < c.len() && c[*at] != '"' {
                if c[*at] == '\\' {
                    *at += 1;
                    match c.get(*at) {
                        Some('n') => text.push('\n'),
                        Some('u') => {
                            let code: String = c[*at + 1..(*at + 5).min(c.len())].iter().collect();
                            let code = u32::from_str_radix(&code, 16).unwrap_or(63);
                            text.push(char::from_u32(code).unwrap_or('?'));
                            *at += 4;
                        }
                        Some(other) => text.push(*other),
                        None => {}
                    }
                } else {
                    text.push(c[*at]);
                }
                *at += 1;
            }
            *at += 1;
            Json::Text(text)
        }
        Some(_) => {
            let start = *at;
            while *at < c.len() && !" ,:}]\r\n\t".contains(c[*at]) {
                *at += 1;
            }
            let word: String = c[start..*at].iter().collect();
            if *at == start {
                *at += 1;
            }
            match word.as_str() {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                word => word.parse().map_or(Json::Null, Json::Number),
            }
        }
        None => Json::Null,
    }
}

/// Encodes standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(SET[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
