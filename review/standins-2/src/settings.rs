//! Configurations like those of a small deployment, written from the pages' description of the settings.

use std::net::SocketAddr;

/// One class: name, effect, what it must see, times in microseconds.
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub read_level: &'static str,
    pub bound: u64,
    pub give_up: u64,
    pub slo: u64,
}

pub struct Site {
    pub classes: Vec<Class>,
    /// `on_request` or `pushed`.
    pub discovery: &'static str,
    pub drain_grace: u64,
    pub server_checks: &'static str,
    pub write_marks: &'static str,
    pub shows_role: &'static str,
    pub fleet_size: u32,
    pub me: u32,
    pub memory_mb: u64,
    pub sockets: u64,
    /// For how long a group drops repeats of a key, in microseconds.
    pub window: u64,
    /// What a late answer earns.
    pub late_worth: f64,
}

impl Site {
    /// The figures of the first deployment in the brief: reads of bounded age and of a session, keyed writes.
    pub fn first() -> Site {
        let class = |name, semantics, read_level, bound, give_up, slo| Class {
            name,
            semantics,
            read_level,
            bound,
            give_up,
            slo,
        };
        Site {
            classes: vec![
                class("list-read", "read_like", "lag_bound", 3_000_000, 3_000_000, 800_000),
                class("own-read", "read_like", "causal", 0, 3_000_000, 800_000),
                class("order-write", "idempotency_key", "mutate", 0, 5_000_000, 500_000),
            ],
            discovery: "on_request",
            drain_grace: 2_000_000,
            server_checks: "await",
            write_marks: "brought",
            shows_role: "off",
            fleet_size: 2,
            me: 0,
            memory_mb: 192,
            sockets: 1_024,
            window: 5_000_000,
            late_worth: 0.0,
        }
    }

    /// The configuration file.
    pub fn config(&self, name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"name\":\"{}\",\"giveUp\":{},\"slo\":{},\"semantics\":\"{}\",\"group\":\"cell\",\"window\":{},\"points\":1.0,\"lateWorth\":{:?},\"stream\":false}}",
                    class.name, class.give_up, class.slo, class.semantics, self.window, self.late_worth
                )
            })
            .collect();
        let list =
            |text: &dyn Fn(&Class) -> String| self.classes.iter().map(text).collect::<Vec<_>>().join(",");
        let bounds = list(&|class| class.bound.to_string());
        let levels = list(&|class| format!("\"{}\"", class.read_level));
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory},\"sockets\":{sockets}}},\n\"known\":{known},\n\
             \"settings\":{{\"classes\":[{classes}],\n\"discovery\":\"{mode}\",\"fleetSize\":{fleet},\"me\":{me},\"tick\":5000,\"zone\":\"a\",\"zones\":[\"a\"],\"tenants\":[],\n\
             \"goal\":{{\"whole\":0.7,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.1}},\n\
             \"limits\":{{\"cancel\":true,\"mayProbe\":true,\"secondCopies\":false,\"maxAttempts\":6,\"maxOpen\":20000,\"connectTimeout\":250000,\"idleClose\":15000000,\"retryAfter\":true,\"maxRetryAfter\":2000000}},\n\
             \"prices\":{{\"crossZone\":0.04,\"probe\":0.011}},\n\
             \"report\":{{\"how\":\"on_probe\",\"names\":[\"x0\",\"x1\",\"pending\"]}},\n\
             \"rules\":{{\"askWithin\":10000000,\"cold\":16000000,\"coldFrom\":0.17,\"drainGrace\":{grace},\"fall\":3000000,\"fallMultiple\":3.0,\"graceToAnswer\":20000}},\n\
             \"specifics\":{{\"classBound\":[{bounds}],\"countedFrom\":0,\"readLevel\":[{levels}],\"serverChecks\":\"{checks}\",\"showsRole\":\"{roles}\",\"wait\":50000,\"writeMarks\":\"{marks}\",\"progressTold\":true,\"synchronous\":false}}}}}}\n",
            memory = self.memory_mb,
            sockets = self.sockets,
            classes = classes.join(","),
            mode = self.discovery,
            fleet = self.fleet_size,
            me = self.me,
            grace = self.drain_grace,
            checks = self.server_checks,
            roles = self.shows_role,
            marks = self.write_marks,
        )
    }
}
