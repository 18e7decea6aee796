//! A small JSON reader. Strings and numbers keep the text that they were read from, so that what a client wrote is
//! handed out as it was written.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    /// The number as written.
    Number(String),
    /// The string as written, with its escapes, without its quotes.
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn without(&self, key: &str) -> Value {
        match self {
            Value::Object(fields) => Value::Object(
                fields
                    .iter()
                    .filter(|(name, _)| name != key)
                    .cloned()
                    .collect(),
            ),
            other => other.clone(),
        }
    }
}

impl std::fmt::Display for Value {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(text) => f.write_str(text),
            Value::Text(text) => write!(f, "\"{text}\""),
            Value::List(items) => {
                f.write_str("[")?;
                for (number, item) in items.iter().enumerate() {
                    if number > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Value::Object(fields) => {
                f.write_str("{")?;
                for (number, (name, value)) in fields.iter().enumerate() {
                    if number > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "\"{name}\":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        text: text.as_bytes(),
        at: 0,
    };
    let value = reader.value()?;
    reader.space();
    (reader.at == reader.text.len()).then_some(value)
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self
            .text
            .get(self.at)
            .is_some_and(|b| b.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn eat(&mut self, token: &[u8]) -> Option<()> {
        self.space();
        self.text[self.at..]
            .starts_with(token)
            .then(|| self.at += token.len())
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b"\"")?;
        let start = self.at;
        loop {
            match self.text.get(self.at)? {
                b'"' => break,
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
        let text = String::from_utf8(self.text.get(start..self.at)?.to_vec()).ok()?;
        self.at += 1;
        Some(text)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match *self.text.get(self.at)? {
            b'n' => self.eat(b"null").map(|()| Value::Null),
            b't' => self.eat(b"true").map(|()| Value::Bool(true)),
            b'f' => self.eat(b"false").map(|()| Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b"]").is_some() {
                    return Some(Value::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b"]").is_some() {
                        return Some(Value::List(items));
                    }
                    self.eat(b",")?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b"}").is_some() {
                    return Some(Value::Object(fields));
                }
                loop {
                    let name = self.string()?;
                    self.eat(b":")?;
                    fields.push((name, self.value()?));
                    if self.eat(b"}").is_some() {
                        return Some(Value::Object(fields));
                    }
                    self.eat(b",")?;
                }
            }
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
                {
                    self.at += 1;
                }
                (self.at > start)
                    .then(|| String::from_utf8_lossy(&self.text[start..self.at]).into_owned())
                    .map(Value::Number)
            }
        }
    }
}
