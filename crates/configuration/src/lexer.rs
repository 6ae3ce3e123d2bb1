//! Words of the small language, cut by `logos` (design 4.3).

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
    Semi,
    /// A text in double quotes, without them.
    #[regex(r#""[^"\n]*""#, |l| l.slice()[1..l.slice().len() - 1].to_string())]
    Text(String),
    /// A number with its unit.
    #[regex(r"[0-9]+(\.[0-9]+)?[A-Za-z]*", |l| l.slice().to_string())]
    Num(String),
    /// A name or keyword.
    #[regex(r"[A-Za-z_][A-Za-z0-9_.\-]*", |l| l.slice().to_string())]
    Word(String),
}

impl Token {
    /// The token as diagnostics show it.
    pub fn describe(&self) -> String {
        match self {
            Token::Open => "'{'".into(),
            Token::Close => "'}'".into(),
            Token::Comma => "','".into(),
            Token::Semi => "';'".into(),
            Token::Text(s) => format!("{s:?}"),
            Token::Num(s) | Token::Word(s) => format!("'{s}'"),
        }
    }
}

/// A number with its unit, scaled to the base unit.
pub fn scaled(s: &str, units: &[(&str, f64)]) -> Option<f64> {
    let cut = s.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(s.len());
    let (num, unit) = s.split_at(cut);
    let by = units.iter().find(|(u, _)| *u == unit)?.1;
    num.parse::<f64>().ok().map(|n| n * by)
}

/// Units of time, in milliseconds.
pub const SPANS: &[(&str, f64)] = &[("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)];
/// Units of size, in bytes.
pub const SIZES: &[(&str, f64)] = &[("B", 1.0), ("kB", 1024.0), ("MB", 1048576.0)];
/// No unit.
pub const PLAIN: &[(&str, f64)] = &[("", 1.0)];
