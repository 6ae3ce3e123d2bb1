//! From the document to the plan table; every flaw is reported, not just the first (design 4.2).

use crate::{
    doc::{self, Doc},
    lang::{Args, Block, blocks},
    place::{Flaw, flaw, locate},
    table::{Entry, KeyPart, Kind, Policy, Table},
};
use common::{Region, Service, Tenant, Zone, is_valid_name};
use std::collections::{BTreeMap, BTreeSet};

const MAX_DEADLINE: f64 = 3.6e6;
const MAX_BODY: f64 = 64.0 * 1048576.0;
const METHODS: &[&str] = &["ANY", "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"];

/// Where the text of the small language starts within the document.
pub fn timetable_offset(src: &str) -> usize {
    let at = locate(src, &["timetable".into()]);
    let rest = &src[at..];
    let quotes = if rest.starts_with("'''") || rest.starts_with("\"\"\"") { 3 } else { 1 };
    at + quotes + usize::from(rest.get(quotes..).is_some_and(|r| r.starts_with('\n')))
}

struct Work<'a> {
    src: &'a str,
    doc: &'a Doc,
    flaws: Vec<Flaw>,
}

impl Work<'_> {
    fn add(&mut self, path: &[&str], msg: String) {
        let path: Vec<String> = path.iter().map(|s| s.to_string()).collect();
        self.flaws.push(flaw(self.src, locate(self.src, &path), msg));
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

/// Compiles a document; on failure all its flaws, in the order in which they stand.
pub fn compile(src: &str) -> Result<Table, Vec<Flaw>> {
    let doc = doc::read(src)?;
    let mut w = Work { src, doc: &doc, flaws: Vec::new() };
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
    let mut tab = Table {
        cluster: doc.cluster.clone(),
        // All there is came with the first version; what comes later raises this where it is used.
        lang: 1,
        zones,
        services,
        tenant_header: doc.tenancy.header.to_ascii_lowercase(),
        tenant_default: doc.tenancy.default.as_ref().map(Tenant::new),
        tenants,
        tuning: doc.tuning.clone(),
        entries: Vec::new(),
        policies: vec![Policy::standard("standard")],
    };
    if let Some(d) = tab.tenant_default.clone().filter(|d| !tab.tenants.contains_key(d)) {
        w.add(&["tenancy", "default"], format!("tenancy.default: no tenant '{d}'"));
    }
    let mut inner = language(&doc.timetable, &mut tab);
    let (l0, _) = crate::place::line_col(src, timetable_offset(src));
    inner.iter_mut().for_each(|f| f.line += l0 - 1);
    w.flaws.extend(inner);
    w.flaws.sort_by_key(|f| (f.line, f.column));
    if w.flaws.is_empty() { Ok(tab) } else { Err(w.flaws) }
}

fn tenants(w: &mut Work, regions: &BTreeSet<Region>) -> BTreeMap<Tenant, Option<BTreeSet<Region>>> {
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

fn language(text: &str, tab: &mut Table) -> Vec<Flaw> {
    let (blks, mut flaws) = blocks(text);
    let mut seen = BTreeSet::new();
    for b in &blks {
        if !seen.insert((&b.kind, &b.name)) {
            flaws.push(flaw(text, b.off, format!("{} '{}' is there twice", b.kind, b.name)));
        }
    }
    for b in blks.iter().filter(|b| b.kind == "policy") {
        let mut p = Policy::standard(&b.name);
        let mut own_key = Vec::new();
        flaws.extend(each(text, b, |a| policy_line(a, &mut p, &mut own_key)));
        if !own_key.is_empty() {
            p.key = own_key;
        }
        tab.policies.push(p);
    }
    for b in blks.iter().filter(|b| b.kind == "entry") {
        match entry(text, b, tab) {
            Ok(e) => {
                if let Some(by) = tab.entries.iter().find(|o| o.covers(&e)) {
                    let msg = format!("entry '{}' can never match: '{}' takes all its jobs", e.name, by.name);
                    flaws.push(flaw(text, b.off, msg));
                }
                tab.entries.push(e);
            }
            Err(f) => flaws.extend(f),
        }
    }
    if tab.entries.is_empty() && flaws.is_empty() {
        flaws.push(flaw(text, 0, "no entry: nothing would ever be served"));
    }
    flaws
}

fn each(text: &str, b: &Block, mut f: impl FnMut(&Args) -> Result<(), Flaw>) -> Vec<Flaw> {
    b.lines.iter().filter_map(|line| f(&Args { src: text, line }).err()).collect()
}

fn policy_line(a: &Args, p: &mut Policy, key: &mut Vec<KeyPart>) -> Result<(), Flaw> {
    match a.line.verb.as_str() {
        "ttl" => a.span_ms(0, 1e3, 8.64e7).map(|v| p.ttl_ms = v),
        "overload" => a.plain(0, 0.1, 1.0).map(|v| p.overload = v),
        "smooth" => a.plain(0, 0.001, 1.0).map(|v| p.smooth = v),
        "key" => {
            let part = match a.name(0)?.as_str() {
                "header" => KeyPart::Header(a.text(1)?.to_ascii_lowercase()),
                "json" => KeyPart::Json(a.text(1)?),
                "opening" => KeyPart::Opening(a.plain(1, 16.0, 65536.0)? as usize),
                other => return a.fail(format!("'{other}'; allowed: header, json, opening")),
            };
            key.push(part);
            Ok(())
        }
        _ => a.fail("no such statement; allowed: ttl, overload, smooth, key"),
    }
}

fn entry(text: &str, b: &Block, tab: &Table) -> Result<Entry, Vec<Flaw>> {
    let mut e = Entry {
        name: b.name.clone(),
        off: b.off,
        method: String::new(),
        path: String::new(),
        prefix: false,
        headers: Vec::new(),
        to: Service::new(""),
        kind: Kind::Model,
        homes: None,
        repeatable: false,
        limit: 1 << 20,
        deadline_ms: 30_000,
        policy: 0,
    };
    let mut flaws = each(text, b, |a| entry_line(a, &mut e, tab));
    for (missing, what) in [(e.path.is_empty(), "match"), (e.to.as_str().is_empty(), "to")] {
        if missing && !b.lines.iter().any(|l| l.verb == what) {
            flaws.push(flaw(text, b.off, format!("entry '{}': '{what}' is missing", b.name)));
        }
    }
    if flaws.is_empty() { Ok(e) } else { Err(flaws) }
}

fn entry_line(a: &Args, e: &mut Entry, tab: &Table) -> Result<(), Flaw> {
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
            match tab.services.get(&to) {
                Some(k) => e.kind = *k,
                None => return a.fail(format!("no service '{to}'")),
            }
            e.to = to;
        }
        "homes" => {
            let names = a.names()?;
            let regions = tab.regions();
            if let Some((_, r)) = names.iter().find(|(_, r)| !regions.contains(&Region::new(r))) {
                return a.fail(format!("no region '{r}'"));
            }
            e.homes = Some(names.into_iter().map(|(_, r)| Region::new(r)).collect());
        }
        "once" => e.repeatable = false,
        "repeatable" => e.repeatable = true,
        "limit" => e.limit = a.size(0, MAX_BODY)?,
        "deadline" => e.deadline_ms = a.span_ms(0, 100.0, MAX_DEADLINE)?,
        "policy" => {
            let n = a.name(0)?;
            match tab.policies.iter().position(|p| p.name == n) {
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
