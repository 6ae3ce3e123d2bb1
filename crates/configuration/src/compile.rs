//! From the document to the plan table; every diagnostic is reported, not just the first (design 4.2).

use crate::{
    diagnostic::{Diagnostic, diagnostic_at, locate},
    document::{self, ConfigDocument},
    parser::{Block, Operands, blocks},
    routing_table::{Entry, KeyPart, Policy, RoutingTable, ServiceKind},
};
use common::{Region, Service, Tenant, Zone, is_valid_name};
use std::collections::{BTreeMap, BTreeSet};

const MAX_DEADLINE: f64 = 3.6e6;
const MAX_BODY: f64 = 64.0 * 1048576.0;
const METHODS: &[&str] = &["ANY", "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"];

/// Byte offset of the text in the routing language within the document.
pub fn routing_offset(src: &str) -> usize {
    let at = locate(src, &["timetable".into()]);
    let rest = &src[at..];
    let quotes = if rest.starts_with("'''") || rest.starts_with("\"\"\"") { 3 } else { 1 };
    at + quotes + usize::from(rest.get(quotes..).is_some_and(|r| r.starts_with('\n')))
}

struct Compiler<'a> {
    src: &'a str,
    doc: &'a ConfigDocument,
    diagnostics: Vec<Diagnostic>,
}

impl Compiler<'_> {
    fn add(&mut self, path: &[&str], msg: String) {
        let path: Vec<String> = path.iter().map(|s| s.to_string()).collect();
        self.diagnostics.push(diagnostic_at(self.src, locate(self.src, &path), msg));
    }

    fn names(&mut self, list: &str, names: &[String]) {
        let mut seen = BTreeSet::new();
        for (n, name) in names.iter().enumerate() {
            let ix = n.to_string();
            if !is_valid_name(name) {
                self.add(&[list, &ix, "name"], format!("{list}: {name:?} is not a name"));
            }
            if !seen.insert(name) {
                self.add(&[list, &ix, "name"], format!("{list}: '{name}' is there twice"));
            }
        }
    }
}

/// Compiles a document; on failure all its diagnostics, in the order in which they stand.
pub fn compile(src: &str) -> Result<RoutingTable, Vec<Diagnostic>> {
    let doc = document::read(src)?;
    let mut w = Compiler { src, doc: &doc, diagnostics: Vec::new() };
    let list = |f: &dyn Fn(usize) -> Option<String>| (0..).map_while(f).collect::<Vec<_>>();
    w.names("areas", &list(&|n| doc.zones.get(n).map(|a| a.name.clone())));
    w.names("services", &list(&|n| doc.services.get(n).map(|a| a.name.clone())));
    w.names("tenants", &list(&|n| doc.tenants.get(n).map(|a| a.name.clone())));
    for (n, a) in doc.zones.iter().enumerate().filter(|(_, a)| !is_valid_name(&a.region)) {
        w.add(&["areas", &n.to_string(), "region"], format!("areas: {:?} is not a name", a.region));
    }
    for (f, why) in doc.tuning.faults() {
        w.add(&["tuning", f], format!("tuning.{f}: {why}"));
    }
    let zones: BTreeMap<Zone, Region> =
        doc.zones.iter().map(|a| (Zone::new(&a.name), Region::new(&a.region))).collect();
    let regions: BTreeSet<Region> = zones.values().cloned().collect();
    let tenants = tenants(&mut w, &regions);
    let services = doc.services.iter().map(|s| (Service::new(&s.name), s.kind)).collect();
    let mut table = RoutingTable {
        cluster: doc.cluster.clone(),
        // All there is came with the first version; what comes later raises this where it is used.
        language_version: 1,
        zones,
        services,
        tenant_header: doc.tenancy.header.to_ascii_lowercase(),
        tenant_default: doc.tenancy.default.as_ref().map(Tenant::new),
        tenants,
        tuning: doc.tuning.clone(),
        entries: Vec::new(),
        policies: vec![Policy::standard("standard")],
    };
    if let Some(d) = table.tenant_default.clone().filter(|d| !table.tenants.contains_key(d)) {
        w.add(&["tenancy", "default"], format!("tenancy.default: no tenant '{d}'"));
    }
    let mut inner = language(&doc.routing, &mut table);
    let (l0, _) = crate::diagnostic::line_col(src, routing_offset(src));
    inner.iter_mut().for_each(|f| f.line += l0 - 1);
    w.diagnostics.extend(inner);
    w.diagnostics.sort_by_key(|f| (f.line, f.column));
    if w.diagnostics.is_empty() { Ok(table) } else { Err(w.diagnostics) }
}

fn tenants(w: &mut Compiler, regions: &BTreeSet<Region>) -> BTreeMap<Tenant, Option<BTreeSet<Region>>> {
    let mut out = BTreeMap::new();
    for (n, t) in w.doc.tenants.iter().enumerate() {
        let homes: Option<BTreeSet<Region>> = t.homes.as_ref().map(|h| h.iter().map(Region::new).collect());
        let ix = n.to_string();
        for r in homes.iter().flatten().filter(|r| !regions.contains(*r)) {
            w.add(&["tenants", &ix, "homes"], format!("tenant '{}': no region '{r}'", t.name));
        }
        if homes.as_ref().is_some_and(|h| h.is_empty()) {
            w.add(&["tenants", &ix, "homes"], format!("tenant '{}': homes are empty", t.name));
        }
        out.insert(Tenant::new(&t.name), homes);
    }
    out
}

fn language(text: &str, table: &mut RoutingTable) -> Vec<Diagnostic> {
    let (parsed, mut diagnostics) = blocks(text);
    let mut seen = BTreeSet::new();
    for b in &parsed {
        if !seen.insert((&b.kind, &b.name)) {
            diagnostics.push(diagnostic_at(text, b.off, format!("{} '{}' is there twice", b.kind, b.name)));
        }
    }
    for b in parsed.iter().filter(|b| b.kind == "policy") {
        let mut p = Policy::standard(&b.name);
        let mut own_key = Vec::new();
        diagnostics.extend(each(text, b, |a| policy_line(a, &mut p, &mut own_key)));
        if !own_key.is_empty() {
            p.key = own_key;
        }
        table.policies.push(p);
    }
    for b in parsed.iter().filter(|b| b.kind == "entry") {
        match entry(text, b, table) {
            Ok(e) => {
                if let Some(by) = table.entries.iter().find(|o| o.shadows(&e)) {
                    let msg =
                        format!("entry '{}' can never match: '{}' takes all its requests", e.name, by.name);
                    diagnostics.push(diagnostic_at(text, b.off, msg));
                }
                table.entries.push(e);
            }
            Err(f) => diagnostics.extend(f),
        }
    }
    if table.entries.is_empty() && diagnostics.is_empty() {
        diagnostics.push(diagnostic_at(text, 0, "no entry: nothing would ever be served"));
    }
    diagnostics
}

fn each(text: &str, b: &Block, mut f: impl FnMut(&Operands) -> Result<(), Diagnostic>) -> Vec<Diagnostic> {
    b.lines.iter().filter_map(|line| f(&Operands { src: text, line }).err()).collect()
}

fn policy_line(a: &Operands, p: &mut Policy, key: &mut Vec<KeyPart>) -> Result<(), Diagnostic> {
    match a.line.verb.as_str() {
        "ttl" => a.span_ms(0, 1e3, 8.64e7).map(|v| p.ttl_ms = v),
        "overload" => a.plain(0, 0.1, 1.0).map(|v| p.max_load_ratio = v),
        "smooth" => a.plain(0, 0.001, 1.0).map(|v| p.smoothing = v),
        "key" => {
            let part = match a.name(0)?.as_str() {
                "header" => KeyPart::Header(a.text(1)?.to_ascii_lowercase()),
                "json" => KeyPart::Json(a.text(1)?),
                "opening" => KeyPart::PromptStart(a.plain(1, 16.0, 65536.0)? as usize),
                other => return a.fail(format!("'{other}'; allowed: header, json, opening")),
            };
            key.push(part);
            Ok(())
        }
        _ => a.fail("no such statement; allowed: ttl, overload, smooth, key"),
    }
}

fn entry(text: &str, b: &Block, table: &RoutingTable) -> Result<Entry, Vec<Diagnostic>> {
    let mut e = Entry {
        name: b.name.clone(),
        offset: b.off,
        method: String::new(),
        path: String::new(),
        prefix: false,
        headers: Vec::new(),
        service: Service::new(""),
        kind: ServiceKind::Model,
        homes: None,
        idempotent: false,
        max_body_bytes: 1 << 20,
        deadline_ms: 30_000,
        policy: 0,
    };
    let mut diagnostics = each(text, b, |a| entry_line(a, &mut e, table));
    for (missing, what) in [(e.path.is_empty(), "match"), (e.service.as_str().is_empty(), "to")] {
        if missing && !b.lines.iter().any(|l| l.verb == what) {
            diagnostics.push(diagnostic_at(text, b.off, format!("entry '{}': '{what}' is missing", b.name)));
        }
    }
    if diagnostics.is_empty() { Ok(e) } else { Err(diagnostics) }
}

fn entry_line(a: &Operands, e: &mut Entry, table: &RoutingTable) -> Result<(), Diagnostic> {
    match a.line.verb.as_str() {
        "match" => {
            a.count(2)?;
            let (m, p) = (a.name(0)?, a.text(1)?);
            if !METHODS.contains(&m.as_str()) {
                return a.fail(format!("'{m}'; allowed: {}", METHODS.join(", ")));
            }
            if !p.starts_with('/') {
                return a.fail(format!("{p:?} does not start with '/'"));
            }
            e.method = m;
            e.prefix = p.ends_with('*');
            e.path = p.trim_end_matches('*').into();
        }
        "header" => e.headers.push((a.text(0)?.to_ascii_lowercase(), a.text(1)?)),
        "to" => {
            let to = Service::new(a.name(0)?);
            match table.services.get(&to) {
                Some(k) => e.kind = *k,
                None => return a.fail(format!("no service '{to}'")),
            }
            e.service = to;
        }
        "homes" => {
            let names = a.names()?;
            let regions = table.regions();
            if let Some((_, r)) = names.iter().find(|(_, r)| !regions.contains(&Region::new(r))) {
                return a.fail(format!("no region '{r}'"));
            }
            e.homes = Some(names.into_iter().map(|(_, r)| Region::new(r)).collect());
        }
        "once" => e.idempotent = false,
        "repeatable" => e.idempotent = true,
        "limit" => e.max_body_bytes = a.size(0, MAX_BODY)?,
        "deadline" => e.deadline_ms = a.span_ms(0, 100.0, MAX_DEADLINE)?,
        "policy" => {
            let n = a.name(0)?;
            match table.policies.iter().position(|p| p.name == n) {
                Some(ix) => e.policy = ix,
                None => return a.fail(format!("no policy '{n}'")),
            }
        }
        _ => {
            return a.fail(
                "no such statement; allowed: match, header, to, homes, once, repeatable, limit, deadline, policy",
            );
        }
    }
    Ok(())
}
