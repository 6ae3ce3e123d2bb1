//! Compiles a document into a routing table and reports all its errors, not just the first (design 4.2).

use crate::{
    diagnostic::{Diagnostic, diagnostic_at, line_col, locate},
    document::{self, ConfigDocument},
    parser::{Block, Operands, parse_blocks},
    routing_table::{Entry, KeyPart, Policy, RoutingTable, ServiceKind},
};
use common::{Region, Service, Tenant, Zone, is_valid_name};
use std::collections::{BTreeMap, BTreeSet};

const MAX_DEADLINE_MS: f64 = 3.6e6;
const MAX_BODY_BYTES: f64 = 64.0 * 1048576.0;
const METHODS: &[&str] = &["ANY", "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"];
const ENTRY_STATEMENTS: &str = "match, header, to, homes, once, repeatable, limit, deadline, policy";

type TenantHomes = BTreeMap<Tenant, Option<BTreeSet<Region>>>;
type Checked = Result<(), Diagnostic>;

/// Byte offset, within the document, of the text in the routing language.
pub fn routing_offset(source: &str) -> usize {
    let value = locate(source, &["timetable".into()]);
    let rest = &source[value..];
    let quotes = if rest.starts_with("'''") || rest.starts_with("\"\"\"") { 3 } else { 1 };
    value + quotes + usize::from(rest.get(quotes..).is_some_and(|text| text.starts_with('\n')))
}

struct Compiler<'a> {
    source: &'a str,
    document: &'a ConfigDocument,
    diagnostics: Vec<Diagnostic>,
}

impl Compiler<'_> {
    /// Reports an error in the field at `path`.
    fn report(&mut self, path: &[&str], message: String) {
        let path: Vec<String> = path.iter().map(|part| part.to_string()).collect();
        self.diagnostics.push(diagnostic_at(self.source, locate(self.source, &path), message));
    }

    /// Reports names in a list that are invalid or not unique.
    fn check_names<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n String>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let index = index.to_string();
            if !is_valid_name(name) {
                self.report(&[list, &index, "name"], format!("{list}: {name:?} is not a valid name"));
            }
            if !seen.insert(name) {
                self.report(&[list, &index, "name"], format!("{list}: '{name}' is defined twice"));
            }
        }
    }
}

/// Compiles a document; on failure all its diagnostics, in the order of their positions.
pub fn compile(source: &str) -> Result<RoutingTable, Vec<Diagnostic>> {
    let document = document::read(source)?;
    let mut compiler = Compiler { source, document: &document, diagnostics: Vec::new() };
    compiler.check_names("areas", document.zones.iter().map(|zone| &zone.name));
    compiler.check_names("services", document.services.iter().map(|service| &service.name));
    compiler.check_names("tenants", document.tenants.iter().map(|tenant| &tenant.name));
    for (index, zone) in document.zones.iter().enumerate().filter(|(_, zone)| !is_valid_name(&zone.region)) {
        let message = format!("areas: {:?} is not a valid name", zone.region);
        compiler.report(&["areas", &index.to_string(), "region"], message);
    }
    for (field, problem) in document.tuning.out_of_range() {
        compiler.report(&["tuning", field], format!("tuning.{field}: {problem}"));
    }
    let zones: BTreeMap<Zone, Region> =
        document.zones.iter().map(|zone| (Zone::new(&zone.name), Region::new(&zone.region))).collect();
    let regions: BTreeSet<Region> = zones.values().cloned().collect();
    let tenants = compile_tenants(&mut compiler, &regions);
    let services = document.services.iter().map(|item| (Service::new(&item.name), item.kind)).collect();
    let mut table = RoutingTable {
        cluster: document.cluster.clone(),
        // The whole language belongs to version 1. A construct added later must raise this where it is used.
        language_version: 1,
        zones,
        services,
        tenant_header: document.tenancy.header.to_ascii_lowercase(),
        tenant_default: document.tenancy.default.as_ref().map(Tenant::new),
        tenants,
        tuning: document.tuning.clone(),
        entries: Vec::new(),
        policies: vec![Policy::standard("standard")],
    };
    if let Some(default) = table.tenant_default.clone().filter(|name| !table.tenants.contains_key(name)) {
        compiler.report(&["tenancy", "default"], format!("tenancy.default: no tenant '{default}'"));
    }
    let mut routing_diagnostics = compile_routing(&document.routing, &mut table);
    let (first_line, _) = line_col(source, routing_offset(source));
    routing_diagnostics.iter_mut().for_each(|diagnostic| diagnostic.line += first_line - 1);
    compiler.diagnostics.extend(routing_diagnostics);
    compiler.diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
    if compiler.diagnostics.is_empty() { Ok(table) } else { Err(compiler.diagnostics) }
}

fn compile_tenants(compiler: &mut Compiler, regions: &BTreeSet<Region>) -> TenantHomes {
    let mut tenants = BTreeMap::new();
    for (index, tenant) in compiler.document.tenants.iter().enumerate() {
        let homes = tenant.homes.as_ref().map(|homes| homes.iter().map(Region::new).collect::<BTreeSet<_>>());
        let path = ["tenants", &index.to_string(), "homes"];
        for region in homes.iter().flatten().filter(|region| !regions.contains(*region)) {
            compiler.report(&path, format!("tenant '{}': no region '{region}'", tenant.name));
        }
        if homes.as_ref().is_some_and(|homes| homes.is_empty()) {
            compiler.report(&path, format!("tenant '{}': homes are empty", tenant.name));
        }
        tenants.insert(Tenant::new(&tenant.name), homes);
    }
    tenants
}

/// Adds the policies and entries of a text in the routing language to the table.
fn compile_routing(text: &str, table: &mut RoutingTable) -> Vec<Diagnostic> {
    let (blocks, mut diagnostics) = parse_blocks(text);
    let mut seen = BTreeSet::new();
    for block in &blocks {
        if !seen.insert((&block.kind, &block.name)) {
            let message = format!("{} '{}' is defined twice", block.kind, block.name);
            diagnostics.push(diagnostic_at(text, block.offset, message));
        }
    }
    for block in blocks.iter().filter(|block| block.kind == "policy") {
        let mut policy = Policy::standard(&block.name);
        let mut own_key = Vec::new();
        let errors = each_statement(text, block, |line| policy_statement(line, &mut policy, &mut own_key));
        diagnostics.extend(errors);
        if !own_key.is_empty() {
            policy.key = own_key;
        }
        table.policies.push(policy);
    }
    for block in blocks.iter().filter(|block| block.kind == "entry") {
        match compile_entry(text, block, table) {
            Ok(entry) => {
                if let Some(Entry { name, .. }) = table.entries.iter().find(|other| other.shadows(&entry)) {
                    let message = format!("entry '{}' can never match: '{name}' matches first", entry.name);
                    diagnostics.push(diagnostic_at(text, block.offset, message));
                }
                table.entries.push(entry);
            }
            Err(errors) => diagnostics.extend(errors),
        }
    }
    if table.entries.is_empty() && diagnostics.is_empty() {
        diagnostics.push(diagnostic_at(text, 0, "no entry: no request would ever be served"));
    }
    diagnostics
}

/// Calls `read` for each statement of a block and collects the errors.
fn each_statement(text: &str, block: &Block, mut read: impl FnMut(&Operands) -> Checked) -> Vec<Diagnostic> {
    let statements = block.statements.iter();
    statements.filter_map(|statement| read(&Operands { source: text, statement }).err()).collect()
}

fn policy_statement(operands: &Operands, policy: &mut Policy, key: &mut Vec<KeyPart>) -> Checked {
    match operands.statement.keyword.as_str() {
        "ttl" => operands.duration_ms(0, 1e3, 8.64e7).map(|ms| policy.ttl_ms = ms),
        "overload" => operands.number(0, 0.1, 1.0).map(|ratio| policy.max_load_ratio = ratio),
        "smooth" => operands.number(0, 0.001, 1.0).map(|smoothing| policy.smoothing = smoothing),
        "key" => {
            let part = match operands.name(0)?.as_str() {
                "header" => KeyPart::Header(operands.text(1)?.to_ascii_lowercase()),
                "json" => KeyPart::Json(operands.text(1)?),
                "opening" => KeyPart::PromptStart(operands.number(1, 16.0, 65536.0)? as usize),
                other => return operands.fail(format!("'{other}'; allowed: header, json, opening")),
            };
            key.push(part);
            Ok(())
        }
        _ => operands.fail("unknown statement; allowed: ttl, overload, smooth, key"),
    }
}

fn compile_entry(text: &str, block: &Block, table: &RoutingTable) -> Result<Entry, Vec<Diagnostic>> {
    let mut entry = Entry {
        name: block.name.clone(),
        offset: block.offset,
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
    let mut diagnostics = each_statement(text, block, |line| entry_statement(line, &mut entry, table));
    for (missing, keyword) in [(entry.path.is_empty(), "match"), (entry.service.as_str().is_empty(), "to")] {
        if missing && !block.statements.iter().any(|statement| statement.keyword == keyword) {
            let message = format!("entry '{}': '{keyword}' is missing", block.name);
            diagnostics.push(diagnostic_at(text, block.offset, message));
        }
    }
    if diagnostics.is_empty() { Ok(entry) } else { Err(diagnostics) }
}

fn entry_statement(operands: &Operands, entry: &mut Entry, table: &RoutingTable) -> Checked {
    match operands.statement.keyword.as_str() {
        "match" => {
            operands.count(2)?;
            let (method, path) = (operands.name(0)?, operands.text(1)?);
            if !METHODS.contains(&method.as_str()) {
                return operands.fail(format!("'{method}'; allowed: {}", METHODS.join(", ")));
            }
            if !path.starts_with('/') {
                return operands.fail(format!("{path:?} does not start with '/'"));
            }
            entry.method = method;
            entry.prefix = path.ends_with('*');
            entry.path = path.trim_end_matches('*').into();
        }
        "header" => entry.headers.push((operands.text(0)?.to_ascii_lowercase(), operands.text(1)?)),
        "to" => {
            let service = Service::new(operands.name(0)?);
            match table.services.get(&service) {
                Some(kind) => entry.kind = *kind,
                None => return operands.fail(format!("no service '{service}'")),
            }
            entry.service = service;
        }
        "homes" => {
            let names = operands.names()?;
            let regions = table.regions();
            if let Some((_, name)) = names.iter().find(|(_, name)| !regions.contains(&Region::new(name))) {
                return operands.fail(format!("no region '{name}'"));
            }
            entry.homes = Some(names.into_iter().map(|(_, name)| Region::new(name)).collect());
        }
        "once" => entry.idempotent = false,
        "repeatable" => entry.idempotent = true,
        "limit" => entry.max_body_bytes = operands.size(0, MAX_BODY_BYTES)?,
        "deadline" => entry.deadline_ms = operands.duration_ms(0, 100.0, MAX_DEADLINE_MS)?,
        "policy" => {
            let name = operands.name(0)?;
            match table.policies.iter().position(|policy| policy.name == name) {
                Some(index) => entry.policy = index,
                None => return operands.fail(format!("no policy '{name}'")),
            }
        }
        _ => return operands.fail(format!("unknown statement; allowed: {ENTRY_STATEMENTS}")),
    }
    Ok(())
}
