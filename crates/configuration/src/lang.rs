//! Grammar of the small language (design 4.3): entries and policies, each a block of statements.
//!
//! ```text
//! policy warm { ttl 15m; overload 0.95; smooth 0.05; key header "x-station"; key opening 512 }
//! entry verdicts { match POST "/v1/verdicts"; to verdict; homes centre, north; limit 4MB;
//!                  deadline 30s; policy warm; once }
//! ```

use crate::{
    lex::{PLAIN, SIZES, SPANS, Tok, scaled},
    place::{Flaw, flaw},
};
use logos::Logos;

/// A statement as written: its verb, its operands, and where it stands.
#[derive(Clone, Debug)]
pub struct Line {
    pub off: usize,
    pub verb: String,
    pub args: Vec<(usize, Tok)>,
}

#[derive(Clone, Debug)]
pub struct Block {
    pub off: usize,
    pub kind: String,
    pub name: String,
    pub lines: Vec<Line>,
}

struct Words<'a> {
    src: &'a str,
    toks: Vec<(usize, Tok)>,
    pos: usize,
}

impl Words<'_> {
    fn peek(&self) -> Option<&Tok> {
        self.toks.get(self.pos).map(|(_, t)| t)
    }
    fn off(&self) -> usize {
        self.toks.get(self.pos).map(|(o, _)| *o).unwrap_or(self.src.len())
    }
    fn take(&mut self) -> Option<(usize, Tok)> {
        let t = self.toks.get(self.pos).cloned();
        self.pos += 1;
        t
    }
    fn wrong<T>(&self, want: &str) -> Result<T, Flaw> {
        let got = self.peek().map(Tok::shown).unwrap_or("the end".into());
        Err(flaw(self.src, self.off(), format!("expected {want}, found {got}")))
    }
    fn word(&mut self, want: &str) -> Result<String, Flaw> {
        match self.peek().cloned() {
            Some(Tok::Word(w)) => {
                self.pos += 1;
                Ok(w)
            }
            _ => self.wrong(want),
        }
    }

    fn block(&mut self) -> Result<Block, Flaw> {
        let off = self.off();
        let kind = self.word("'entry' or 'policy'")?;
        if kind != "entry" && kind != "policy" {
            return Err(flaw(self.src, off, format!("unknown block '{kind}'; allowed: entry, policy")));
        }
        let name = self.word("a name")?;
        if self.peek() != Some(&Tok::Open) {
            return self.wrong("'{'");
        }
        self.pos += 1;
        let mut lines = Vec::new();
        loop {
            match self.peek() {
                Some(Tok::Close) => {
                    self.pos += 1;
                    return Ok(Block { off, kind, name, lines });
                }
                Some(Tok::Semi) => self.pos += 1,
                _ => lines.push(self.line()?),
            }
        }
    }

    fn line(&mut self) -> Result<Line, Flaw> {
        let off = self.off();
        let verb = self.word("a statement or '}'")?;
        let mut args = Vec::new();
        loop {
            match self.peek() {
                Some(Tok::Semi) | Some(Tok::Close) => return Ok(Line { off, verb, args }),
                Some(Tok::Comma) => self.pos += 1,
                Some(Tok::Open) | None => return self.wrong("';' or '}'"),
                Some(_) => args.extend(self.take()),
            }
        }
    }
}

/// Reads all blocks; a block that is wrong costs one flaw, and reading goes on at the next.
pub fn blocks(src: &str) -> (Vec<Block>, Vec<Flaw>) {
    let mut flaws = Vec::new();
    let toks = Tok::lexer(src)
        .spanned()
        .filter_map(|(t, span)| match t {
            Ok(t) => Some((span.start, t)),
            Err(()) => {
                let bad = &src[span.clone()];
                flaws.push(flaw(src, span.start, format!("no such word: {bad:?}")));
                None
            }
        })
        .collect();
    let mut w = Words { src, toks, pos: 0 };
    let mut out = Vec::new();
    while w.peek().is_some() {
        match w.block() {
            Ok(b) => out.push(b),
            Err(f) => {
                flaws.push(f);
                w.pos += 1;
                while w.peek().is_some_and(|t| !matches!(t, Tok::Word(s) if s == "entry" || s == "policy")) {
                    w.pos += 1;
                }
            }
        }
    }
    (out, flaws)
}

/// Operands of one statement, taken with their kinds checked.
pub struct Args<'a> {
    pub src: &'a str,
    pub line: &'a Line,
}

impl Args<'_> {
    pub fn fail<T>(&self, msg: impl Into<String>) -> Result<T, Flaw> {
        Err(flaw(self.src, self.line.off, format!("{}: {}", self.line.verb, msg.into())))
    }
    pub fn count(&self, n: usize) -> Result<(), Flaw> {
        let got = self.line.args.len();
        if got == n { Ok(()) } else { self.fail(format!("takes {n} operand(s), found {got}")) }
    }
    pub fn name(&self, n: usize) -> Result<String, Flaw> {
        match self.line.args.get(n) {
            Some((_, Tok::Word(w))) => Ok(w.clone()),
            _ => self.fail("a name is missing"),
        }
    }
    pub fn text(&self, n: usize) -> Result<String, Flaw> {
        match self.line.args.get(n) {
            Some((_, Tok::Text(w))) => Ok(w.clone()),
            _ => self.fail("a text in double quotes is missing"),
        }
    }
    pub fn names(&self) -> Result<Vec<(usize, String)>, Flaw> {
        let out: Option<Vec<_>> = self
            .line
            .args
            .iter()
            .map(|(o, t)| match t {
                Tok::Word(w) => Some((*o, w.clone())),
                _ => None,
            })
            .collect();
        match out.filter(|v| !v.is_empty()) {
            Some(v) => Ok(v),
            None => self.fail("a list of names is missing"),
        }
    }
    fn number(&self, n: usize, units: &[(&str, f64)], what: &str, lo: f64, hi: f64) -> Result<f64, Flaw> {
        let got = match self.line.args.get(n) {
            Some((_, Tok::Num(s))) => scaled(s, units),
            _ => None,
        };
        match got {
            Some(v) if (lo..=hi).contains(&v) => Ok(v),
            Some(v) => self.fail(format!("{v} is out of range; allowed: {lo} to {hi}")),
            None => self.fail(format!("{what} is missing")),
        }
    }
    pub fn span_ms(&self, n: usize, lo: f64, hi: f64) -> Result<u64, Flaw> {
        self.number(n, SPANS, "a time (such as 30s, 15m)", lo, hi).map(|v| v as u64)
    }
    pub fn size(&self, n: usize, hi: f64) -> Result<usize, Flaw> {
        self.number(n, SIZES, "a size (such as 64kB, 4MB)", 1.0, hi).map(|v| v as usize)
    }
    pub fn plain(&self, n: usize, lo: f64, hi: f64) -> Result<f64, Flaw> {
        self.number(n, PLAIN, "a number", lo, hi)
    }
}
