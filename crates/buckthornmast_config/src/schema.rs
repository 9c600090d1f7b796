//! Sections and keys that declarations may contain.

use std::time::Duration;

use buckthornmast_types::{id, rate::Rate, size::Bytes};

use crate::daemon::{Flag, Span, is_sha256};

/// Form that a value must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Label, as in names; see [`id`].
    Label,
    /// Any text on one line of 1 to 1000 bytes.
    Text,
    /// `yes` or `no`.
    Flag,
    /// Whole number from the first to the second bound, both included.
    Count(u64, u64),
    /// Size with a unit, more than 0.
    Size,
    /// Events per second, more than 0.
    Rate,
    /// Share from 0 to 1.
    Share,
    /// Number of 0 or more.
    Number,
    /// Duration with a unit, more than 0.
    Span,
    /// SHA-256 as 64 lower-case hexadecimal digits.
    Digest,
    /// One of several words.
    Word(&'static [&'static str]),
}

impl Form {
    /// Returns a description of valid values.
    pub fn expected(self) -> String {
        match self {
            Self::Label => "a label of a-z, 0-9, '.', '_' and '-'".to_owned(),
            Self::Text => "a text".to_owned(),
            Self::Flag => "yes or no".to_owned(),
            Self::Count(low, high) => format!("a whole number from {low} to {high}"),
            Self::Size => "a size such as 300MiB or 14GiB".to_owned(),
            Self::Rate => "a number of events per second such as 1.5".to_owned(),
            Self::Share => "a share from 0 to 1".to_owned(),
            Self::Number => "a number of 0 or more".to_owned(),
            Self::Span => "a duration such as 390ms or 5s".to_owned(),
            Self::Digest => "a SHA-256 as 64 hexadecimal digits".to_owned(),
            Self::Word(words) => words.join(" or "),
        }
    }

    /// Returns whether a value has this form.
    pub fn accepts(self, text: &str) -> bool {
        match self {
            Self::Label => text.parse::<id::Kind>().is_ok(),
            Self::Text => !text.is_empty() && text.len() <= 1000,
            Self::Flag => text.parse::<Flag>().is_ok(),
            Self::Count(low, high) => text
                .parse::<u64>()
                .is_ok_and(|count| (low..=high).contains(&count)),
            Self::Size => text.parse::<Bytes>().is_ok_and(|size| size > Bytes::ZERO),
            Self::Rate => text.parse::<Rate>().is_ok_and(|rate| rate.get() > 0.0),
            Self::Share => text
                .parse::<f64>()
                .is_ok_and(|share| (0.0..=1.0).contains(&share)),
            Self::Span => text
                .parse::<Span>()
                .is_ok_and(|span| span.0 > Duration::ZERO),
            Self::Number => text.parse::<Rate>().is_ok(),
            Self::Digest => is_sha256(text),
            Self::Word(words) => words.contains(&text),
        }
    }
}

/// Key of a section.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Name.
    pub name: &'static str,
    /// Form of the value.
    pub form: Form,
    /// Whether the section must contain it.
    pub is_required: bool,
}

/// Kind of section.
#[derive(Debug, Clone, Copy)]
pub struct Section {
    /// First word of the section's title.
    pub kind: &'static str,
    /// Whether a name follows the first word of the title.
    pub is_named: bool,
    /// Keys.
    pub keys: &'static [Key],
    /// Whether other keys with any text are allowed, such as the parameters of policies.
    pub allows_other_keys: bool,
}

const fn required(name: &'static str, form: Form) -> Key {
    Key {
        name,
        form,
        is_required: true,
    }
}

const fn optional(name: &'static str, form: Form) -> Key {
    Key {
        name,
        form,
        is_required: false,
    }
}

const fn section(kind: &'static str, is_named: bool, keys: &'static [Key]) -> Section {
    Section {
        kind,
        is_named,
        keys,
        allows_other_keys: false,
    }
}

/// Sections of the platform's file.
pub const PLATFORM: &[Section] = &[
    section("platform", false, &[required("name", Form::Label)]),
    section("domain", true, &[optional("region", Form::Label)]),
    section(
        "kind",
        true,
        &[
            required("role", Form::Word(&["model", "plain"])),
            required("fencing", Form::Word(&["honoured", "ignored"])),
            required("access", Form::Word(&["checked", "open"])),
        ],
    ),
    section(
        "service",
        true,
        &[
            required("kind", Form::Label),
            optional("repeat", Form::Word(&["safe", "never"])),
            optional("concurrency", Form::Count(1, 100_000)),
        ],
    ),
    section(
        "store",
        false,
        &[
            required("loads-per-second", Form::Rate),
            required("loads-at-once", Form::Count(1, 10_000)),
        ],
    ),
    section("target", true, &[required("drain", Form::Flag)]),
    section(
        "team",
        true,
        &[
            required("token-sha256", Form::Digest),
            optional("share", Form::Share),
        ],
    ),
];

/// Sections of a team's file.
pub const TEAM: &[Section] = &[
    Section {
        kind: "policy",
        is_named: false,
        keys: &[
            required("name", Form::Label),
            optional("shadow", Form::Text),
            optional("moves-weight", Form::Number),
        ],
        allows_other_keys: true,
    },
    section(
        "objective",
        true,
        &[
            required("deadline", Form::Span),
            required("attainment", Form::Share),
            optional("first-token", Form::Span),
            optional("window", Form::Span),
        ],
    ),
    section(
        "model",
        true,
        &[
            required("service", Form::Label),
            required("version", Form::Label),
            required("memory", Form::Size),
            required("objective", Form::Label),
            optional("copies", Form::Count(1, 1000)),
            optional("priority", Form::Count(0, 9)),
        ],
    ),
    section(
        "adapter",
        true,
        &[
            required("model", Form::Label),
            required("version", Form::Label),
            required("memory", Form::Size),
            optional("copies", Form::Count(1, 1000)),
        ],
    ),
];
