//! `foldshunt-admin`: the command line for operators (design 4.8).

use bpaf::Bpaf;
use bytes::Bytes;
use common::http::send_request_to_any;
use eyre::{Result, WrapErr, bail};
use hyper::{HeaderMap, Method};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Operates a foldshunt cluster through any of its control nodes.
///
/// Exit codes: 0 done, 1 no answer or invalid arguments, 2 refused, 3 another change came first,
/// 4 undetermined (ask again with: foldshunt-admin op ID).
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    /// HTTP address of a control node; may be given several times, and the nodes are tried in turn
    #[bpaf(long("core"), argument("IP:PORT"))]
    core: Vec<SocketAddr>,
    #[bpaf(external(cmd))]
    cmd: Cmd,
}

#[derive(Clone, Debug, Bpaf)]
enum Cmd {
    /// Shows members, replicas, revision, evacuations, and the nodes that lag behind
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
    /// Evacuates a zone: it gets no new requests until it is restored
    #[bpaf(command)]
    Evacuate {
        #[bpaf(positional("AREA"))]
        zone: String,
    },
    /// Ends the evacuation of a zone
    #[bpaf(command)]
    Restore {
        #[bpaf(positional("AREA"))]
        zone: String,
    },
    /// Lists the replicas
    #[bpaf(command)]
    Replicas,
    /// Adds a replica to the list, or changes its service, zone or address
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
    /// Drains a replica: it gets no new requests and finishes its running ones
    #[bpaf(command)]
    Drain {
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Removes a replica from the list
    #[bpaf(command)]
    Remove {
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Declares a lost node down, so that changes are accepted without it
    #[bpaf(command)]
    Down {
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Shows the outcome of an operation
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
    /// Id of this operation, so that it can be repeated safely; generated when left out
    #[bpaf(argument("ID"))]
    op: Option<String>,
    /// Waits up to this many milliseconds until all nodes use the change
    #[bpaf(argument("MS"), fallback(0))]
    wait: u64,
}

/// Path of the configuration, and its path at control nodes of earlier versions.
const CONFIGURATION_PATHS: [&str; 2] = ["/v1/configuration", "/v1/timetable"];

/// The control nodes, in the order in which they are asked.
struct ControlNodes(Vec<SocketAddr>);

/// Status, headers and body.
type Answer = (u16, HeaderMap, Bytes);

impl ControlNodes {
    async fn ask(&self, method: Method, path: &str, headers: &[(&str, &str)], body: Bytes) -> Result<Answer> {
        let (code, answer_headers, answer_body) =
            send_request_to_any(&self.0, method, path, headers, body, 70_000).await?;
        Ok((code.as_u16(), answer_headers, answer_body))
    }

    /// Sends a request for the configuration. A control node of an earlier version answers 404 under the first path
    /// without doing anything; the second path is tried then.
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

    /// The newest revision; 0 before the first document.
    async fn newest(&self) -> Result<u64> {
        let (code, headers, body) = self.ask_configuration(Method::GET, "", &[], Bytes::new()).await?;
        let tag =
            headers.get("etag").and_then(|v| v.to_str().ok()).and_then(|v| v.trim_matches('"').parse().ok());
        match (code, tag) {
            (404, _) => Ok(0),
            (200, Some(n)) => Ok(n),
            _ => bail!("cannot read the newest revision: {code} {}", String::from_utf8_lossy(&body)),
        }
    }

    /// Sends a change of the document on its base revision.
    async fn change(&self, method: Method, change: &Change, file: &PathBuf) -> Result<Answer> {
        let body = std::fs::read(file).wrap_err_with(|| format!("cannot read {file:?}"))?;
        let base = match change.base {
            Some(n) => n,
            None => self.newest().await?,
        }
        .to_string();
        let operation = change
            .op
            .clone()
            .unwrap_or_else(|| format!("sm-{}-{}", std::process::id(), common::clock::wall_ms()));
        let headers = [("if-match", base.as_str()), ("foldshunt-op", operation.as_str())];
        let query = format!("?wait_ms={}", change.wait);
        let answer = self.ask_configuration(method, &query, &headers, body.into()).await;
        answer.wrap_err_with(|| format!("operation {operation}"))
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

async fn run(options: Opts) -> Result<u8> {
    let control_nodes = ControlNodes(options.core);
    let empty = Bytes::new();
    let (code, _, body) = match &options.cmd {
        Cmd::Status => control_nodes.ask(Method::GET, "/v1/status", &[], empty).await?,
        Cmd::Show => control_nodes.ask_configuration(Method::GET, "", &[], empty).await?,
        Cmd::Replicas => control_nodes.ask(Method::GET, "/v1/replicas", &[], empty).await?,
        Cmd::Down { node } => {
            control_nodes.ask(Method::POST, &format!("/v1/members/{node}/down"), &[], empty).await?
        }
        Cmd::Op { id } => control_nodes.ask(Method::GET, &format!("/v1/ops/{id}"), &[], empty).await?,
        Cmd::Apply { change, file } => control_nodes.change(Method::PUT, change, file).await?,
        Cmd::Patch { change, file } => control_nodes.change(Method::PATCH, change, file).await?,
        Cmd::Evacuate { zone } => {
            let body = serde_json::json!({"area": zone}).to_string();
            control_nodes.ask(Method::POST, "/v1/evacuations", &[], body.into()).await?
        }
        Cmd::Restore { zone } => {
            control_nodes.ask(Method::DELETE, &format!("/v1/evacuations/{zone}"), &[], empty).await?
        }
        Cmd::List { id, service, zone, addr } => {
            let body =
                serde_json::json!({"id": id, "service": service, "area": zone, "addr": addr}).to_string();
            control_nodes.ask(Method::POST, "/v1/replicas", &[], body.into()).await?
        }
        Cmd::Drain { id } => {
            control_nodes.ask(Method::POST, &format!("/v1/replicas/{id}/drain"), &[], empty).await?
        }
        Cmd::Remove { id } => {
            control_nodes.ask(Method::DELETE, &format!("/v1/replicas/{id}"), &[], empty).await?
        }
    };
    let text = String::from_utf8_lossy(&body);
    match serde_json::from_str::<serde_json::Value>(&text).ok().filter(|_| !matches!(options.cmd, Cmd::Show))
    {
        Some(value) => {
            for flaw in value["flaws"].as_array().into_iter().flatten() {
                eprintln!("{}:{}: {}", flaw["line"], flaw["column"], flaw["message"].as_str().unwrap_or(""));
            }
            common::error::print(&format!("{value:#}\n"));
        }
        None => common::error::print(&text),
    }
    Ok(exit_code(code))
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(opts().run()).await {
        Ok(n) => ExitCode::from(n),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(if format!("{error:#}").contains("undetermined") { 4 } else { 1 })
        }
    }
}
