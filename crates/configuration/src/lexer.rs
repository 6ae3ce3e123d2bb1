//! Tokens of the routing language, produced by `logos` (design 4.3).

use logos::Logos;

/// A token of the routing language.
#[derive(Logos, Clone, Debug, PartialEq)]
#[logos(skip r"[ \t\r\n]+")]
#[logos(skip r"#[^\n]*")]
pub enum Token {
    /// `{`
    #[token("{")]
    Open,
    /// `}`
    #[token("}")]
    Close,
    /// `,`
    #[token(",")]
    Comma,
    /// `;`
    #[token(";")]
    Semicolon,
    /// A text in double quotes, without the quotes.
    #[regex(r#""[^"\n]*""#, |lexer| lexer.slice()[1..lexer.slice().len() - 1].to_string())]
    Text(String),
    /// A number with its unit.
    #[regex(r"[0-9]+(\.[0-9]+)?[A-Za-z]*", |lexer| lexer.slice().to_string())]
    Number(String),
    /// A name or keyword.
    #[regex(r"[A-Za-z_][A-Za-z0-9_.\-]*", |lexer| lexer.slice().to_string())]
    Word(String),
}

impl Token {
    /// The token as diagnostics show it.
    pub fn describe(&self) -> String {
        match self {
            Token::Open => "'{'".into(),
            Token::Close => "'}'".into(),
            Token::Comma => "','".into(),
            Token::Semicolon => "';'".into(),
            Token::Text(text) => format!("{text:?}"),
            Token::Number(text) | Token::Word(text) => format!("'{text}'"),
        }
    }
}

/// Parses a number with one of these units and converts it to the base unit.
pub fn parse_with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let factor = units.iter().find(|(name, _)| *name == unit)?.1;
    number.parse::<f64>().ok().map(|number| number * factor)
}

/// Units of time with their length in milliseconds.
pub const TIME_UNITS: &[(&str, f64)] = &[("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)];
/// Units of size with their number of bytes.
pub const SIZE_UNITS: &[(&str, f64)] = &[("B", 1.0), ("kB", 1024.0), ("MB", 1048576.0)];
/// For numbers without a unit.
pub const NO_UNIT: &[(&str, f64)] = &[("", 1.0)];
