//! The two deployments that the fleet is tested with (design 7.2).

/// The two firms whose deployments are tested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Firm {
    /// The deployment of `examples/bitacora.toml`.
    Bitacora,
    /// The deployment of `examples/rinaldi.toml`.
    Rinaldi,
}

/// One kind of request that callers send.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The entry of the document that serves it.
    pub entry: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path; a GET appends a number.
    pub path: &'static str,
    /// Requests per second over the whole deployment.
    pub rate: f64,
    /// Whether it must not be repeated.
    pub once: bool,
    /// Field of the JSON body that names the user.
    pub user_field: &'static str,
    /// Bytes of the prompt prefix that all requests of one user share; 0 for requests without a prompt.
    pub prefix: usize,
    /// Tokens in the answer.
    pub tokens: usize,
    /// The only region that the entry may be served in; `None` for any.
    pub homes: Option<&'static str>,
}

/// A deployment and its traffic.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the cluster.
    pub name: &'static str,
    /// The configuration document (TOML).
    pub document: String,
    /// Each zone and its region.
    pub zones: [(&'static str, &'static str); 3],
    /// Each service and its number of replicas in each zone; the first one serves the model.
    pub replicas: [(&'static str, [usize; 3]); 2],
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Each tenant, its share of the requests, and its home region.
    pub tenants: &'static [(&'static str, f64, Option<&'static str>)],
}

impl std::str::FromStr for Firm {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "bitacora" => Ok(Firm::Bitacora),
            "rinaldi" => Ok(Firm::Rinaldi),
            _ => Err(format!("{s:?}; allowed: bitacora, rinaldi")),
        }
    }
}

/// A kind of request with the usual fields; a POST must not be repeated.
fn request_kind(entry: &'static str, method: &'static str, path: &'static str, rate: f64) -> RequestKind {
    RequestKind {
        entry,
        method,
        path,
        rate,
        once: method == "POST",
        user_field: "station",
        prefix: 8 << 10,
        tokens: 12,
        homes: None,
    }
}

/// The deployment of a firm.
pub fn deployment(firm: Firm) -> Deployment {
    match firm {
        Firm::Bitacora => Deployment {
            name: "bitacora",
            document: include_str!("../../../examples/bitacora.toml").into(),
            zones: [("centro-1", "centro"), ("centro-2", "centro"), ("norte-1", "norte")],
            replicas: [("verdict", [5, 5, 8]), ("contacts", [1, 1, 1])],
            kinds: vec![
                request_kind("match-verdicts", "POST", "/v1/verdicts", 14.0),
                RequestKind { tokens: 40, ..request_kind("confirmation-notes", "POST", "/v1/notes", 2.0) },
                RequestKind {
                    prefix: 0,
                    tokens: 1,
                    ..request_kind("contact-lookups", "GET", "/v1/contacts/", 60.0)
                },
            ],
            tenants: &[
                ("operators", 0.7, None),
                ("contest-committee", 0.15, Some("centro")),
                ("award-club", 0.15, Some("norte")),
            ],
        },
        Firm::Rinaldi => {
            let user_field = "register";
            Deployment {
                name: "rinaldi",
                document: include_str!("../../../examples/rinaldi.toml").into(),
                zones: [("baires-1", "buenos-aires"), ("baires-2", "buenos-aires"), ("cordoba-1", "cordoba")],
                replicas: [("match", [3, 3, 5]), ("tickets", [1, 1, 1])],
                kinds: vec![
                    RequestKind {
                        user_field,
                        ..request_kind("register-matches", "POST", "/v1/matches", 9.0)
                    },
                    RequestKind {
                        user_field,
                        tokens: 40,
                        homes: Some("buenos-aires"),
                        ..request_kind("claimant-replies", "POST", "/v1/replies", 1.5)
                    },
                    RequestKind {
                        user_field,
                        prefix: 0,
                        tokens: 1,
                        ..request_kind("ticket-lookups", "GET", "/v1/tickets/", 45.0)
                    },
                ],
                tenants: &[("clerks", 0.8, None), ("cordoba-register", 0.2, Some("cordoba"))],
            }
        }
    }
}

impl Deployment {
    /// Region of a zone; empty if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> &'static str {
        self.zones.iter().find(|a| a.0 == zone).map(|a| a.1).unwrap_or("")
    }
    /// Replaces one piece of the document, given as `FROM=>TO`.
    pub fn replace(&mut self, rule: &str) -> Result<(), String> {
        let (from, to) = rule.split_once("=>").ok_or(format!("{rule:?}; allowed: FROM=>TO"))?;
        if self.document.matches(from).count() != 1 {
            return Err(format!("{from:?} must occur exactly once in the document"));
        }
        self.document = self.document.replacen(from, to, 1);
        Ok(())
    }

    /// All regions, in the order of the zones.
    pub fn regions(&self) -> Vec<&'static str> {
        let mut v: Vec<_> = self.zones.iter().map(|a| a.1).collect();
        v.dedup();
        v
    }
}
