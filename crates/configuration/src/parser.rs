//! Grammar of the small language (design 4.3): entries and policies, each a block of statements.
//!
//! ```text
//! policy warm { ttl 15m; overload 0.95; smooth 0.05; key header "x-station"; key opening 512 }
//! entry matches { match POST "/v1/matches"; to matcher; homes centre, north; limit 4MB;
//!                  deadline 30s; policy warm; once }
//! ```

use crate::{
    diagnostic::{Diagnostic, diagnostic_at},
    lexer::{PLAIN, SIZES, SPANS, Token, scaled},
};
use logos::Logos;

/// A statement as written: its verb, its operands, and where it stands.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Byte offset in the source.
    pub off: usize,
    /// Its keyword.
    pub verb: String,
    /// Its operands with their offsets.
    pub args: Vec<(usize, Token)>,
}

/// A block of statements.
#[derive(Clone, Debug)]
pub struct Block {
    /// Byte offset in the source.
    pub off: usize,
    /// `entry` or `policy`.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// Its statements.
    pub lines: Vec<Statement>,
}

struct Parser<'a> {
    src: &'a str,
    tokens: Vec<(usize, Token)>,
    pos: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.pos).map(|(_, t)| t)
    }
    fn off(&self) -> usize {
        self.tokens.get(self.pos).map(|(o, _)| *o).unwrap_or(self.src.len())
    }
    fn take(&mut self) -> Option<(usize, Token)> {
        let t = self.tokens.get(self.pos).cloned();
        self.pos += 1;
        t
    }
    fn wrong<T>(&self, want: &str) -> Result<T, Diagnostic> {
        let got = self.peek().map(Token::describe).unwrap_or("the end".into());
        Err(diagnostic_at(self.src, self.off(), format!("expected {want}, found {got}")))
    }
    fn word(&mut self, want: &str) -> Result<String, Diagnostic> {
        match self.peek().cloned() {
            Some(Token::Word(w)) => {
                self.pos += 1;
                Ok(w)
            }
            _ => self.wrong(want),
        }
    }

    fn block(&mut self) -> Result<Block, Diagnostic> {
        let off = self.off();
        let kind = self.word("'entry' or 'policy'")?;
        if kind != "entry" && kind != "policy" {
            return Err(diagnostic_at(
                self.src,
                off,
                format!("unknown block '{kind}'; allowed: entry, policy"),
            ));
        }
        let name = self.word("a name")?;
        if self.peek() != Some(&Token::Open) {
            return self.wrong("'{'");
        }
        self.pos += 1;
        let mut lines = Vec::new();
        loop {
            match self.peek() {
                Some(Token::Close) => {
                    self.pos += 1;
                    return Ok(Block { off, kind, name, lines });
                }
                Some(Token::Semi) => self.pos += 1,
                _ => lines.push(self.line()?),
            }
        }
    }

    fn line(&mut self) -> Result<Statement, Diagnostic> {
        let off = self.off();
        let verb = self.word("a statement or '}'")?;
        let mut args = Vec::new();
        loop {
            match self.peek() {
                Some(Token::Semi) | Some(Token::Close) => return Ok(Statement { off, verb, args }),
                Some(Token::Comma) => self.pos += 1,
                Some(Token::Open) | None => return self.wrong("';' or '}'"),
                Some(_) => args.extend(self.take()),
            }
        }
    }
}

/// Reads all blocks; a block that is wrong costs one diagnostic, and reading goes on at the next.
pub fn blocks(src: &str) -> (Vec<Block>, Vec<Diagnostic>) {
    let mut diagnostics = Vec::new();
    let tokens = Token::lexer(src)
        .spanned()
        .filter_map(|(t, span)| match t {
            Ok(t) => Some((span.start, t)),
            Err(()) => {
                let bad = &src[span.clone()];
                diagnostics.push(diagnostic_at(src, span.start, format!("no such word: {bad:?}")));
                None
            }
        })
        .collect();
    let mut w = Parser { src, tokens, pos: 0 };
    let mut out = Vec::new();
    while w.peek().is_some() {
        match w.block() {
            Ok(b) => out.push(b),
            Err(f) => {
                diagnostics.push(f);
                w.pos += 1;
                while w.peek().is_some_and(|t| !matches!(t, Token::Word(s) if s == "entry" || s == "policy"))
                {
                    w.pos += 1;
                }
            }
        }
    }
    (out, diagnostics)
}

/// Operands of one statement, taken with their kinds checked.
pub struct Operands<'a> {
    /// The source.
    pub src: &'a str,
    /// The statement.
    pub line: &'a Statement,
}

impl Operands<'_> {
    /// A diagnostic at the statement.
    ///
    /// # Errors
    /// Always.
    pub fn fail<T>(&self, msg: impl Into<String>) -> Result<T, Diagnostic> {
        Err(diagnostic_at(self.src, self.line.off, format!("{}: {}", self.line.verb, msg.into())))
    }
    /// Checks the number of operands.
    ///
    /// # Errors
    /// It is another one.
    pub fn count(&self, n: usize) -> Result<(), Diagnostic> {
        let got = self.line.args.len();
        if got == n { Ok(()) } else { self.fail(format!("takes {n} operand(s), found {got}")) }
    }
    /// The operand at a position, a name.
    ///
    /// # Errors
    /// It is none.
    pub fn name(&self, n: usize) -> Result<String, Diagnostic> {
        match self.line.args.get(n) {
            Some((_, Token::Word(w))) => Ok(w.clone()),
            _ => self.fail("a name is missing"),
        }
    }
    /// The operand at a position, a text.
    ///
    /// # Errors
    /// It is none.
    pub fn text(&self, n: usize) -> Result<String, Diagnostic> {
        match self.line.args.get(n) {
            Some((_, Token::Text(w))) => Ok(w.clone()),
            _ => self.fail("a text in double quotes is missing"),
        }
    }
    /// All operands, names.
    ///
    /// # Errors
    /// There is none, or one is no name.
    pub fn names(&self) -> Result<Vec<(usize, String)>, Diagnostic> {
        let out: Option<Vec<_>> = self
            .line
            .args
            .iter()
            .map(|(o, t)| match t {
                Token::Word(w) => Some((*o, w.clone())),
                _ => None,
            })
            .collect();
        match out.filter(|v| !v.is_empty()) {
            Some(v) => Ok(v),
            None => self.fail("a list of names is missing"),
        }
    }
    fn number(
        &self,
        n: usize,
        units: &[(&str, f64)],
        what: &str,
        lo: f64,
        hi: f64,
    ) -> Result<f64, Diagnostic> {
        let got = match self.line.args.get(n) {
            Some((_, Token::Num(s))) => scaled(s, units),
            _ => None,
        };
        match got {
            Some(v) if (lo..=hi).contains(&v) => Ok(v),
            Some(v) => self.fail(format!("{v} is out of range; allowed: {lo} to {hi}")),
            None => self.fail(format!("{what} is missing")),
        }
    }
    /// The operand at a position, a time in milliseconds.
    ///
    /// # Errors
    /// It is none, or out of range.
    pub fn span_ms(&self, n: usize, lo: f64, hi: f64) -> Result<u64, Diagnostic> {
        self.number(n, SPANS, "a time (such as 30s, 15m)", lo, hi).map(|v| v as u64)
    }
    /// The operand at a position, a size in bytes.
    ///
    /// # Errors
    /// It is none, or out of range.
    pub fn size(&self, n: usize, hi: f64) -> Result<usize, Diagnostic> {
        self.number(n, SIZES, "a size (such as 64kB, 4MB)", 1.0, hi).map(|v| v as usize)
    }
    /// The operand at a position, a number.
    ///
    /// # Errors
    /// It is none, or out of range.
    pub fn plain(&self, n: usize, lo: f64, hi: f64) -> Result<f64, Diagnostic> {
        self.number(n, PLAIN, "a number", lo, hi)
    }
}
