//! Parser of the routing language (design 4.3): entries and policies, each a block of statements.
//!
//! ```text
//! policy warm { ttl 15m; overload 0.95; smooth 0.05; key header "x-station"; key opening 512 }
//! entry matches { match POST "/v1/matches"; to matcher; homes centre, north; limit 4MB;
//!                  deadline 30s; policy warm; once }
//! ```

use crate::{
    diagnostic::{Diagnostic, diagnostic_at},
    lexer::{NO_UNIT, SIZE_UNITS, TIME_UNITS, Token, parse_with_unit},
};
use logos::Logos;

/// A parsed statement: its keyword and operands with their positions.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Byte offset in the source.
    pub offset: usize,
    /// The keyword.
    pub keyword: String,
    /// The operands with their byte offsets.
    pub operands: Vec<(usize, Token)>,
}

/// A block of statements.
#[derive(Clone, Debug)]
pub struct Block {
    /// Byte offset in the source.
    pub offset: usize,
    /// `entry` or `policy`.
    pub kind: String,
    /// The name.
    pub name: String,
    /// The statements.
    pub statements: Vec<Statement>,
}

struct Parser<'a> {
    source: &'a str,
    /// Tokens with their byte offsets.
    tokens: Vec<(usize, Token)>,
    /// Index of the next token.
    position: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.position).map(|(_, token)| token)
    }
    fn offset(&self) -> usize {
        self.tokens.get(self.position).map(|(offset, _)| *offset).unwrap_or(self.source.len())
    }
    fn take(&mut self) -> Option<(usize, Token)> {
        let token = self.tokens.get(self.position).cloned();
        self.position += 1;
        token
    }
    fn unexpected<T>(&self, expected: &str) -> Result<T, Diagnostic> {
        let found = self.peek().map(Token::describe).unwrap_or("the end".into());
        Err(diagnostic_at(self.source, self.offset(), format!("expected {expected}, found {found}")))
    }
    fn word(&mut self, expected: &str) -> Result<String, Diagnostic> {
        match self.peek().cloned() {
            Some(Token::Word(word)) => {
                self.position += 1;
                Ok(word)
            }
            _ => self.unexpected(expected),
        }
    }

    fn block(&mut self) -> Result<Block, Diagnostic> {
        let offset = self.offset();
        let kind = self.word("'entry' or 'policy'")?;
        if kind != "entry" && kind != "policy" {
            let message = format!("unknown block '{kind}'; allowed: entry, policy");
            return Err(diagnostic_at(self.source, offset, message));
        }
        let name = self.word("a name")?;
        if self.peek() != Some(&Token::Open) {
            return self.unexpected("'{'");
        }
        self.position += 1;
        let mut statements = Vec::new();
        loop {
            match self.peek() {
                Some(Token::Close) => {
                    self.position += 1;
                    return Ok(Block { offset, kind, name, statements });
                }
                Some(Token::Semicolon) => self.position += 1,
                _ => statements.push(self.statement()?),
            }
        }
    }

    fn statement(&mut self) -> Result<Statement, Diagnostic> {
        let offset = self.offset();
        let keyword = self.word("a statement or '}'")?;
        let mut operands = Vec::new();
        loop {
            match self.peek() {
                Some(Token::Semicolon) | Some(Token::Close) => {
                    return Ok(Statement { offset, keyword, operands });
                }
                Some(Token::Comma) => self.position += 1,
                Some(Token::Open) | None => return self.unexpected("';' or '}'"),
                Some(_) => operands.extend(self.take()),
            }
        }
    }
}

/// Parses all blocks. A block with an error gives one diagnostic, and parsing continues with the next block.
pub fn parse_blocks(source: &str) -> (Vec<Block>, Vec<Diagnostic>) {
    let mut diagnostics = Vec::new();
    let tokens = Token::lexer(source)
        .spanned()
        .filter_map(|(token, span)| match token {
            Ok(token) => Some((span.start, token)),
            Err(()) => {
                let text = &source[span.clone()];
                diagnostics.push(diagnostic_at(source, span.start, format!("unexpected text: {text:?}")));
                None
            }
        })
        .collect();
    let mut parser = Parser { source, tokens, position: 0 };
    let mut blocks = Vec::new();
    let starts_block =
        |token: &Token| matches!(token, Token::Word(word) if word == "entry" || word == "policy");
    while parser.peek().is_some() {
        match parser.block() {
            Ok(block) => blocks.push(block),
            Err(diagnostic) => {
                diagnostics.push(diagnostic);
                parser.position += 1;
                while parser.peek().is_some_and(|token| !starts_block(token)) {
                    parser.position += 1;
                }
            }
        }
    }
    (blocks, diagnostics)
}

/// Reads the operands of one statement. Reading an operand fails, with a diagnostic at the statement, if the operand is
/// missing, has another type or is out of range.
pub struct Operands<'a> {
    /// The source.
    pub source: &'a str,
    /// The statement.
    pub statement: &'a Statement,
}

impl Operands<'_> {
    /// A diagnostic at the statement.
    ///
    /// # Errors
    /// Always.
    pub fn fail<T>(&self, message: impl Into<String>) -> Result<T, Diagnostic> {
        let message = format!("{}: {}", self.statement.keyword, message.into());
        Err(diagnostic_at(self.source, self.statement.offset, message))
    }
    /// Checks the number of operands.
    ///
    /// # Errors
    /// The statement has another number of operands.
    pub fn count(&self, expected: usize) -> Result<(), Diagnostic> {
        let found = self.statement.operands.len();
        if found == expected {
            Ok(())
        } else {
            self.fail(format!("takes {expected} operand(s), found {found}"))
        }
    }
    /// The operand at an index, a name.
    pub fn name(&self, index: usize) -> Result<String, Diagnostic> {
        match self.statement.operands.get(index) {
            Some((_, Token::Word(word))) => Ok(word.clone()),
            _ => self.fail("a name is missing"),
        }
    }
    /// The operand at an index, a quoted text.
    pub fn text(&self, index: usize) -> Result<String, Diagnostic> {
        match self.statement.operands.get(index) {
            Some((_, Token::Text(text))) => Ok(text.clone()),
            _ => self.fail("a text in double quotes is missing"),
        }
    }
    /// All operands, one or more names, with their byte offsets.
    pub fn names(&self) -> Result<Vec<(usize, String)>, Diagnostic> {
        let names: Option<Vec<_>> = self
            .statement
            .operands
            .iter()
            .map(|(offset, token)| match token {
                Token::Word(word) => Some((*offset, word.clone())),
                _ => None,
            })
            .collect();
        match names.filter(|names| !names.is_empty()) {
            Some(names) => Ok(names),
            None => self.fail("a list of names is missing"),
        }
    }
    fn number_with_unit(
        &self,
        index: usize,
        units: &[(&str, f64)],
        expected: &str,
        min: f64,
        max: f64,
    ) -> Result<f64, Diagnostic> {
        let number = match self.statement.operands.get(index) {
            Some((_, Token::Number(text))) => parse_with_unit(text, units),
            _ => None,
        };
        match number {
            Some(value) if (min..=max).contains(&value) => Ok(value),
            Some(value) => self.fail(format!("{value} is out of range; allowed: {min} to {max}")),
            None => self.fail(format!("{expected} is missing")),
        }
    }
    /// The operand at an index, a duration, in milliseconds.
    pub fn duration_ms(&self, index: usize, min: f64, max: f64) -> Result<u64, Diagnostic> {
        self.number_with_unit(index, TIME_UNITS, "a time (such as 30s, 15m)", min, max).map(|ms| ms as u64)
    }
    /// The operand at an index, a size, in bytes.
    pub fn size(&self, index: usize, max: f64) -> Result<usize, Diagnostic> {
        self.number_with_unit(index, SIZE_UNITS, "a size (such as 64kB, 4MB)", 1.0, max)
            .map(|bytes| bytes as usize)
    }
    /// The operand at an index, a number without a unit.
    pub fn number(&self, index: usize, min: f64, max: f64) -> Result<f64, Diagnostic> {
        self.number_with_unit(index, NO_UNIT, "a number", min, max)
    }
}
