//! `foldshunt-admin`: the operators' command line (design 4.8).

use bpaf::Bpaf;
use bytes::Bytes;
use common::http::send_request_to_any;
use eyre::{Result, WrapErr, bail};
use hyper::{HeaderMap, Method};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Operates a foldshunt cluster through any of its control nodes.
///
/// Exit codes: 0 done, 1 no answer or bad arguments, 2 refused, 3 another change came first,
/// 4 undetermined (ask again with: foldshunt-admin op ID).
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    /// HTTP address of a control node; may be given for each of them, they are tried in turn
    #[bpaf(long("core"), argument("IP:PORT"))]
    core: Vec<SocketAddr>,
    #[bpaf(external(cmd))]
    cmd: Cmd,
}

#[derive(Clone, Debug, Bpaf)]
enum Cmd {
    /// Shows members, replicas, revision, evacuations, and which nodes lag
    #[bpaf(command)]
    Status,
    /// Prints the newest accepted document, byte for byte
    #[bpaf(command)]
    Show,
    /// Applies a whole document
    #[bpaf(command)]
    Apply {
        #[bpaf(external(change))]
        change: Change,
        /// Document (TOML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Changes parts of the document: {"set": {"path": value}, "replace": [{"find", "with"}]}
    #[bpaf(command)]
    Patch {
        #[bpaf(external(change))]
        change: Change,
        /// Patch (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Evacuates a zone: it gets nothing new until it is restored
    #[bpaf(command)]
    Evacuate {
        #[bpaf(positional("AREA"))]
        zone: String,
    },
    /// Takes an evacuation back
    #[bpaf(command)]
    Restore {
        #[bpaf(positional("AREA"))]
        zone: String,
    },
    /// Lists the replicas
    #[bpaf(command)]
    Replicas,
    /// Adds a replica to the list, or changes its place
    #[bpaf(command)]
    List {
        #[bpaf(positional("ID"))]
        id: String,
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional("AREA"))]
        zone: String,
        #[bpaf(positional("IP:PORT"))]
        addr: SocketAddr,
    },
    /// Drains a replica: nothing new, what runs is finished
    #[bpaf(command)]
    Drain {
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Takes a replica off the list
    #[bpaf(command)]
    Remove {
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Says that a lost node is down, so that changes are accepted without it
    #[bpaf(command)]
    Down {
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Tells what became of an operation
    #[bpaf(command)]
    Op {
        #[bpaf(positional("ID"))]
        id: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Change {
    /// Revision that the change is based on; the newest one when left out
    #[bpaf(argument("N"))]
    base: Option<u64>,
    /// Own name for this operation, so that it can be repeated safely
    #[bpaf(argument("ID"))]
    op: Option<String>,
    /// Waits up to so many milliseconds until the change governs on all nodes
    #[bpaf(argument("MS"), fallback(0))]
    wait: u64,
}

/// Path of the configuration, and the one that control nodes of earlier versions have it under.
const CONFIGURATION_PATHS: [&str; 2] = ["/v1/configuration", "/v1/timetable"];

struct ControlNodes(Vec<SocketAddr>);

type Answer = (u16, HeaderMap, Bytes);

impl ControlNodes {
    async fn ask(&self, method: Method, path: &str, headers: &[(&str, &str)], body: Bytes) -> Result<Answer> {
        let (code, h, b) = send_request_to_any(&self.0, method, path, headers, body, 70_000).await?;
        Ok((code.as_u16(), h, b))
    }

    /// Asks for the configuration. A control node of an earlier version answers 404 under the first path, and has
    /// then done nothing.
    async fn ask_configuration(
        &self,
        method: Method,
        query: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer> {
        let [path, earlier_path] = CONFIGURATION_PATHS.map(|path| format!("{path}{query}"));
        let answer = self.ask(method.clone(), &path, headers, body.clone()).await?;
        if answer.0 != 404 {
            return Ok(answer);
        }
        self.ask(method, &earlier_path, headers, body).await
    }

    async fn newest(&self) -> Result<u64> {
        let (code, h, b) = self.ask_configuration(Method::GET, "", &[], Bytes::new()).await?;
        let tag = h.get("etag").and_then(|v| v.to_str().ok()).and_then(|v| v.trim_matches('"').parse().ok());
        match (code, tag) {
            (404, _) => Ok(0),
            (200, Some(n)) => Ok(n),
            _ => bail!("newest revision: {code} {}", String::from_utf8_lossy(&b)),
        }
    }

    async fn change(&self, method: Method, c: &Change, file: &PathBuf) -> Result<Answer> {
        let body = std::fs::read(file).wrap_err_with(|| format!("{file:?}"))?;
        let base = match c.base {
            Some(n) => n,
            None => self.newest().await?,
        }
        .to_string();
        let named =
            c.op.clone().unwrap_or_else(|| format!("sm-{}-{}", std::process::id(), common::clock::wall_ms()));
        let headers = [("if-match", base.as_str()), ("foldshunt-op", named.as_str())];
        let query = format!("?wait_ms={}", c.wait);
        let answer = self.ask_configuration(method, &query, &headers, body.into()).await;
        answer.wrap_err_with(|| format!("operation {named}"))
    }
}

fn exit_code(code: u16) -> u8 {
    match code {
        200..=299 => 0,
        412 => 3,
        504 => 4,
        _ => 2,
    }
}

async fn run(o: Opts) -> Result<u8> {
    let st = ControlNodes(o.core);
    let none = Bytes::new();
    let (code, _, body) = match &o.cmd {
        Cmd::Status => st.ask(Method::GET, "/v1/status", &[], none).await?,
        Cmd::Show => st.ask_configuration(Method::GET, "", &[], none).await?,
        Cmd::Replicas => st.ask(Method::GET, "/v1/replicas", &[], none).await?,
        Cmd::Down { node } => st.ask(Method::POST, &format!("/v1/members/{node}/down"), &[], none).await?,
        Cmd::Op { id } => st.ask(Method::GET, &format!("/v1/ops/{id}"), &[], none).await?,
        Cmd::Apply { change, file } => st.change(Method::PUT, change, file).await?,
        Cmd::Patch { change, file } => st.change(Method::PATCH, change, file).await?,
        Cmd::Evacuate { zone } => {
            let body = serde_json::json!({"area": zone}).to_string();
            st.ask(Method::POST, "/v1/evacuations", &[], body.into()).await?
        }
        Cmd::Restore { zone } => {
            st.ask(Method::DELETE, &format!("/v1/evacuations/{zone}"), &[], none).await?
        }
        Cmd::List { id, service, zone, addr } => {
            let body =
                serde_json::json!({"id": id, "service": service, "area": zone, "addr": addr}).to_string();
            st.ask(Method::POST, "/v1/replicas", &[], body.into()).await?
        }
        Cmd::Drain { id } => st.ask(Method::POST, &format!("/v1/replicas/{id}/drain"), &[], none).await?,
        Cmd::Remove { id } => st.ask(Method::DELETE, &format!("/v1/replicas/{id}"), &[], none).await?,
    };
    let text = String::from_utf8_lossy(&body);
    match serde_json::from_str::<serde_json::Value>(&text).ok().filter(|_| !matches!(o.cmd, Cmd::Show)) {
        Some(v) => {
            for f in v["flaws"].as_array().into_iter().flatten() {
                eprintln!("{}:{}: {}", f["line"], f["column"], f["message"].as_str().unwrap_or(""));
            }
            common::error::print(&format!("{v:#}\n"));
        }
        None => common::error::print(&text),
    }
    Ok(exit_code(code))
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(opts().run()).await {
        Ok(n) => ExitCode::from(n),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(if format!("{e:#}").contains("undetermined") { 4 } else { 1 })
        }
    }
}
