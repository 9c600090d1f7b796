//! Log lines as JSON objects.
//!
//! Each line has `ts`, `level`, `module` and `message`, followed by the fields of the call site, usually
//! `step`, `peer`, `request` and `term`.

use std::io::Write;

use env_logger::fmt::Formatter;
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(|number| json!(number));
        let value = number.unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writes a log record as one line.
pub(crate) fn write(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut line = Map::new();
    line.insert(
        "ts".to_owned(),
        json!(buckthornmast_types::time::unix_millis()),
    );
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("module".to_owned(), json!(record.target()));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    // Fields that can't be read are omitted, so that the line is still written.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    writeln!(out, "{}", serde_json::Value::Object(line))
}
