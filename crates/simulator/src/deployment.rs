//! The two deployments as plain facts (design 7.2).

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Firm {
    Bitacora,
    Rinaldi,
}

/// One kind of job that callers send.
#[derive(Clone, Debug)]
pub struct RequestKind {
    pub entry: &'static str,
    pub method: &'static str,
    pub path: &'static str,
    /// Jobs a second over the whole firm.
    pub rate: f64,
    pub once: bool,
    /// Field of the body that names the user.
    pub user_field: &'static str,
    /// Bytes of the long prefix, the same for all jobs of one user.
    pub prefix: usize,
    pub tokens: usize,
    pub homes: Option<&'static str>,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub document: String,
    /// Zone and its region.
    pub zones: [(&'static str, &'static str); 3],
    /// Service, and replicas in each zone.
    pub replicas: [(&'static str, [usize; 3]); 2],
    pub kinds: Vec<RequestKind>,
    /// Tenant, its share of jobs, its home.
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

fn kind(entry: &'static str, method: &'static str, path: &'static str, rate: f64) -> RequestKind {
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

pub fn deployment(f: Firm) -> Deployment {
    match f {
        Firm::Bitacora => Deployment {
            name: "bitacora",
            document: include_str!("../../../examples/bitacora.toml").into(),
            zones: [("centro-1", "centro"), ("centro-2", "centro"), ("norte-1", "norte")],
            replicas: [("verdict", [5, 5, 8]), ("contacts", [1, 1, 1])],
            kinds: vec![
                kind("match-verdicts", "POST", "/v1/verdicts", 14.0),
                RequestKind { tokens: 40, ..kind("confirmation-notes", "POST", "/v1/notes", 2.0) },
                RequestKind { prefix: 0, tokens: 1, ..kind("contact-lookups", "GET", "/v1/contacts/", 60.0) },
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
                    RequestKind { user_field, ..kind("register-matches", "POST", "/v1/matches", 9.0) },
                    RequestKind {
                        user_field,
                        tokens: 40,
                        homes: Some("buenos-aires"),
                        ..kind("claimant-replies", "POST", "/v1/replies", 1.5)
                    },
                    RequestKind {
                        user_field,
                        prefix: 0,
                        tokens: 1,
                        ..kind("ticket-lookups", "GET", "/v1/tickets/", 45.0)
                    },
                ],
                tenants: &[("clerks", 0.8, None), ("cordoba-register", 0.2, Some("cordoba"))],
            }
        }
    }
}

impl Deployment {
    pub fn region_of(&self, zone: &str) -> &'static str {
        self.zones.iter().find(|a| a.0 == zone).map(|a| a.1).unwrap_or("")
    }
    /// Changes one piece of the document, written as `FROM=>TO`.
    pub fn replace(&mut self, rule: &str) -> Result<(), String> {
        let (from, to) = rule.split_once("=>").ok_or(format!("{rule:?}; allowed: FROM=>TO"))?;
        if self.document.matches(from).count() != 1 {
            return Err(format!("{from:?} does not stand exactly once in the document"));
        }
        self.document = self.document.replacen(from, to, 1);
        Ok(())
    }

    pub fn regions(&self) -> Vec<&'static str> {
        let mut v: Vec<_> = self.zones.iter().map(|a| a.1).collect();
        v.dedup();
        v
    }
}
