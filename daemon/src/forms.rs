//! The fields of the console's forms for each part of a configuration document, and the conversion
//! of submitted forms to JSON.

use serde_json::Value;
use serde_json::json;
use walnuthaven_lib::validate;

/// The type of a field: how it is shown and parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A line of text.
    Text,
    /// A line of text that may be empty.
    OptionalText,
    /// A whole number.
    Number,
    /// A boolean, shown as a check box.
    Flag,
    /// One of the given words; the empty word stands for no value.
    Choice(&'static [&'static str]),
    /// A comma-separated list of words.
    List,
}

/// A field of an item in a document.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key in the document; dots separate the keys of nested objects.
    pub name: &'static str,
    /// The label in the form.
    pub label: &'static str,
    /// How the field is shown and parsed.
    pub kind: Kind,
    /// The value in a new item, as text.
    pub default: &'static str,
}

/// A part of a document: a list of items with the same fields.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The key in the document.
    pub name: &'static str,
    /// The heading in the console.
    pub label: &'static str,
    /// The fields of an item.
    pub fields: &'static [Field],
}

const fn field(
    name: &'static str,
    label: &'static str,
    kind: Kind,
    default: &'static str,
) -> Field {
    Field {
        name,
        label,
        kind,
        default,
    }
}

/// The name field that every item has.
const NAME: Field = field("name", "Name", Kind::Text, "");

/// The fields of a document that belong to no list.
pub const BASICS: &[Field] = &[
    field("share", "Fair share (weight)", Kind::Number, "1"),
    field(
        "limits.max_prompt_tokens",
        "Longest prompt (tokens)",
        Kind::Number,
        "64000",
    ),
    field(
        "limits.max_output_tokens",
        "Longest answer (tokens)",
        Kind::Number,
        "4096",
    ),
    field(
        "limits.max_open_requests",
        "Open requests at one host",
        Kind::Number,
        "2000",
    ),
];

/// The lists of a document.
pub const PARTS: &[Part] = &[
    Part {
        name: "sites",
        label: "Sites",
        fields: &[NAME, field("zone", "Availability zone", Kind::Text, "")],
    },
    Part {
        name: "priorities",
        label: "Priorities",
        fields: &[
            NAME,
            field(
                "class",
                "Class",
                Kind::Choice(&["urgent", "normal", "patient"]),
                "normal",
            ),
        ],
    },
    Part {
        name: "pools",
        label: "Engine pools",
        fields: &[
            NAME,
            field("model", "Model", Kind::Text, ""),
            field("version", "Version", Kind::Text, "1"),
            field("adapters", "Adapters (commas between)", Kind::List, ""),
            field("role_changes", "Engines may change roles", Kind::Flag, ""),
            field(
                "min_per_role",
                "Fewest engines in a role",
                Kind::Number,
                "1",
            ),
        ],
    },
    Part {
        name: "services",
        label: "Services",
        fields: &[
            NAME,
            field("kind", "Kind", Kind::Choice(&["model", "plain"]), "model"),
            field("pool", "Pool (model services)", Kind::OptionalText, ""),
            field("repeatable", "May run more than once", Kind::Flag, "true"),
            field(
                "first_token_ms",
                "First-token target (ms)",
                Kind::Number,
                "1300",
            ),
            field("per_token_ms", "Between tokens (ms)", Kind::Number, "33"),
            field(
                "patient_age_ms",
                "Age limit of patient work (ms)",
                Kind::Number,
                "60000",
            ),
            field(
                "timeout_ms",
                "Time limit of plain calls (ms)",
                Kind::Number,
                "2000",
            ),
        ],
    },
    Part {
        name: "backends",
        label: "Backend servers",
        fields: &[
            NAME,
            field("addr", "IP address and port", Kind::Text, ""),
            field("zone", "Availability zone", Kind::Text, ""),
            field("pool", "Pool (engines)", Kind::OptionalText, ""),
            field(
                "role",
                "Role (engines)",
                Kind::Choice(&["", "prefill", "decode"]),
                "",
            ),
            field("service", "Service (plain servers)", Kind::OptionalText, ""),
            field("slots", "Decode slots", Kind::Number, "20"),
            field(
                "prefill_tokens_s",
                "Prompt tokens computed per second",
                Kind::Number,
                "20000",
            ),
            field("link_mb_s", "Transfer link (MB/s)", Kind::Number, "4000"),
            field(
                "checks_fencing",
                "Refuses orders with an old fencing number",
                Kind::Flag,
                "true",
            ),
            field("draining", "Gets no new work", Kind::Flag, ""),
        ],
    },
    Part {
        name: "keys",
        label: "Callers' keys",
        fields: &[
            NAME,
            field("salt", "Salt (from `walnuthaven key`)", Kind::Text, ""),
            field("sha256", "Hash (from `walnuthaven key`)", Kind::Text, ""),
        ],
    },
];

/// Finds a part by its name.
pub fn find_part(name: &str) -> Option<&'static Part> {
    PARTS.iter().find(|part| part.name == name)
}

/// Returns a field's value in an item as the text that the form shows.
pub fn field_text(item: &Value, field: &Field) -> String {
    let found = field
        .name
        .split('.')
        .try_fold(item, |at, name| at.get(name));
    match found {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let words: Vec<&str> = list.iter().filter_map(Value::as_str).collect();
            words.join(", ")
        }
        Some(other) => other.to_string(),
    }
}

/// Creates an item with the default values.
pub fn new_item(part: &Part) -> Value {
    let mut item = json!({});
    for field in part.fields {
        set_field(&mut item, field, field.default);
    }
    item
}

/// Sets a field of an item from a form's text. Text that is not a number, where a number is
/// expected, is stored as a string, so that the form can show it again.
pub fn set_field(item: &mut Value, field: &Field, text: &str) {
    let text = text.trim();
    let value = match field.kind {
        Kind::Text => json!(text),
        Kind::OptionalText | Kind::Choice(_) if text.is_empty() => Value::Null,
        Kind::OptionalText | Kind::Choice(_) => json!(text),
        Kind::Number => text
            .parse::<u64>()
            .map_or(json!(text), |number| json!(number)),
        Kind::Flag => json!(text == "true"),
        Kind::List => {
            let words = text
                .split(',')
                .map(str::trim)
                .filter(|word| !word.is_empty());
            json!(words.collect::<Vec<&str>>())
        }
    };
    let mut at = item;
    for name in field.name.split('.') {
        at = &mut at[name];
    }
    *at = value;
}

/// Finds the number fields whose text is not a whole number, and sets them to their defaults in
/// `item`, so that the rest of the document can be validated too. Returns a finding for each of
/// them, with the path that the validation would give it: `path` followed by the field's name.
pub fn replace_unreadable(
    item: &mut Value,
    fields: &[Field],
    form: &[(String, String)],
    path: &str,
) -> Vec<validate::Finding> {
    let mut findings = Vec::new();
    for field in fields.iter().filter(|field| field.kind == Kind::Number) {
        let text = input(form, field.name).unwrap_or_default().trim();
        if text.parse::<u32>().is_err() {
            findings.push(validate::Finding {
                path: format!("{path}{}", field.name),
                message: format!("{text:?} is not a whole number"),
            });
            set_field(item, field, field.default);
        }
    }
    findings
}

/// Returns a field's text in a submitted form.
pub fn input<'a>(form: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = form.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

/// Sets all fields of an item from a submitted form.
pub fn read_form(item: &mut Value, fields: &[Field], form: &[(String, String)]) {
    for field in fields {
        set_field(item, field, input(form, field.name).unwrap_or_default());
    }
}
