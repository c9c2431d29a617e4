//! A small JSON reader, and base64 for the store's values.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                let found = fields.iter().find(|(field, _)| field == name);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> u8 {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek() == b'"' {
                    let name = self.string();
                    self.peek();
                    self.at += 1;
                    fields.push((name, self.value()));
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !matches!(self.peek(), b']' | 0) {
                    list.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(list)
            }
            b'"' => Json::Text(self.string()),
            b't' => self.word(4),
            b'f' => self.word(5),
            b'n' => self.word(4),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len()
                    && matches!(self.bytes[self.at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).unwrap_or("");
                if start == self.at {
                    self.at += 1;
                }
                Json::Number(text.parse().unwrap_or(0.0))
            }
        }
    }

    /// Skips a literal; nothing here depends on one.
    fn word(&mut self, length: usize) -> Json {
        self.at += length;
        Json::Null
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut text = Vec::new();
        while self.at < self.bytes.len() && self.bytes[self.at] != b'"' {
            if self.bytes[self.at] == b'\\' {
                self.at += 1;
                let byte = self.bytes.get(self.at).copied().unwrap_or(b'?');
                text.push(match byte {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
            } else {
                text.push(self.bytes[self.at]);
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8_lossy(&text).into_owned()
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
