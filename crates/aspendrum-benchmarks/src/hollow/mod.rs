//! Control as real processes before a fleet of hollow agents: what it costs by the number of agents and by
//! the size of what is decided, calm, at a change, at a restart.

pub mod agent;
mod fleet;
mod platform;
mod traffic;

use crate::measure::{Line, Samples};
use crate::sizes::{self, Size};
use agent::{Agent, Counts, BEATS};
use aspendrum_model::config::Config;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use bpaf::Bpaf;
use fleet::{ctl, dir, Fleet};
use platform::Platform;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How large, and what happens
#[derive(Clone, Debug, Bpaf)]
pub struct Plan {
    /// Processes of control
    #[bpaf(long("controls"), argument("N"), fallback(4))]
    pub controls: usize,
    /// Disks that may be lost at once, as settings tell control
    #[bpaf(long("losses"), argument("N"), fallback(1))]
    pub losses: usize,
    /// Hollow agents
    #[bpaf(long("agents"), argument("N"), fallback(30))]
    pub agents: usize,
    /// Whole limiters beside them: a proxy and its agent each, as real processes
    #[bpaf(long("whole"), argument("N"), fallback(0))]
    pub whole: usize,
    /// What the links of whole limiters to control carry, Mbit/s; 0: as much as loopback does
    #[bpaf(long("mbps"), argument("MBIT"), fallback(0.0))]
    pub mbps: f64,
    #[bpaf(long("servers"), argument("N"), fallback(230))]
    pub servers: usize,
    #[bpaf(long("services"), argument("N"), fallback(16))]
    pub services: usize,
    #[bpaf(long("routes"), argument("N"), fallback(100))]
    pub routes: usize,
    #[bpaf(long("tenants"), argument("N"), fallback(500))]
    pub tenants: usize,
    /// One way between machines of control, milliseconds
    #[bpaf(long("delay-ms"), argument("MS"), fallback(0.0))]
    pub delay_ms: f64,
    /// From a page's question to its answer at the platform, milliseconds
    #[bpaf(long("page-ms"), argument("MS"), fallback(1))]
    pub page_ms: u64,
    /// The platform's calls a second
    #[bpaf(long("rate"), argument("N"), fallback(300.0))]
    pub rate: f64,
    /// Between the beginnings of two agents, milliseconds; 0: all at once, as after a loss of everything
    #[bpaf(long("every-ms"), argument("MS"), fallback(0))]
    pub every_ms: u64,
    /// Seconds of each calm look
    #[bpaf(long("seconds"), argument("S"), fallback(8))]
    pub seconds: u64,
    /// Requests a second through each first whole limiter, with commas between
    #[bpaf(long("traffic"), argument("RATES"), fallback("67,300".into()))]
    pub traffic: String,
    #[bpaf(long("changes"), argument("N"), fallback(5))]
    pub changes: u32,
}

const KINDS: [&str; BEATS + 1] = [
    "config",
    "evacuated",
    "servers",
    "fronts",
    "control",
    "beats",
];
/// For anything that is waited for.
const LIMIT: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(2);
/// Threads of control that are let be: the machine has 32,768 for all that runs on it.
const THREADS: u64 = 10_000;
const BOUNDS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 32 << 20,
};

pub fn play(plan: &Plan) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let fleet = Fleet::prepare(plan, folder.path()).await?;
        Stage::set(plan, fleet)?.all().await
    })
}

struct Stage<'p> {
    plan: &'p Plan,
    fleet: Fleet,
    agents: Vec<Arc<Agent>>,
    counts: Arc<Counts>,
    platform: Arc<Platform>,
    size: Size,
    version: u32,
}

/// Counters at a moment.
struct Snapshot {
    at: Instant,
    cpu: Vec<f64>,
    whole: Vec<f64>,
    down: Vec<u64>,
    frames: Vec<u64>,
    up: u64,
    links: u64,
    between: u64,
    behind: u64,
    calls: [u64; 4],
    left: [u32; 3],
}

fn until(limit: Duration, what: impl Fn() -> bool) -> Option<f64> {
    let begun = Instant::now();
    while !what() {
        if begun.elapsed() > limit {
            return None;
        }
        sleep(LOOK);
    }
    Some(begun.elapsed().as_secs_f64())
}

/// Processor time since then; of a process that began anew meanwhile, all of it.
fn spent(now: f64, then: f64) -> f64 {
    if now >= then {
        now - then
    } else {
        now
    }
}

/// Seconds, or that it did not come to pass.
fn seconds(took: Option<f64>) -> String {
    took.map_or("never".into(), |s| format!("{s:.3}"))
}

impl<'p> Stage<'p> {
    fn set(plan: &'p Plan, fleet: Fleet) -> Result<Stage<'p>, String> {
        let failed = |e: std::io::Error| format!("the stage: {e}");
        let size = Size {
            limiters: plan.agents,
            servers: plan.servers,
            services: plan.services,
            routes: plan.routes,
            tenants: plan.tenants,
        };
        let slow = Duration::from_millis(plan.page_ms);
        let servers = sizes::servers(&size, sizes::apart);
        let platform =
            Platform::open(fleet::platform_at(), servers, plan.rate, slow).map_err(failed)?;
        let counts = Arc::new(Counts::default());
        let control: Vec<_> = (0..plan.controls).map(fleet::control).collect();
        let agents = agent::start(plan.agents, &control, &counts).map_err(failed)?;
        Ok(Stage {
            plan,
            fleet,
            agents,
            counts,
            platform,
            size,
            version: 0,
        })
    }

    fn line(&self, name: &str) -> Line {
        let p = self.plan;
        let line = Line::of(name)
            .with("controls", p.controls)
            .with("agents", p.agents)
            .with("servers", p.servers);
        line.with("routes", p.routes).with("tenants", p.tenants)
    }

    fn snapshot(&self) -> Snapshot {
        let c = &self.counts;
        let p = &self.platform;
        Snapshot {
            at: Instant::now(),
            cpu: self
                .fleet
                .controls
                .iter()
                .map(fleet::Member::cpu_s)
                .collect(),
            whole: self.fleet.whole.iter().map(fleet::Member::cpu_s).collect(),
            down: c.down.iter().map(|n| n.load(Relaxed)).collect(),
            frames: c.frames.iter().map(|n| n.load(Relaxed)).collect(),
            up: c.up.load(Relaxed),
            links: c.links.load(Relaxed),
            between: self.fleet.between_bytes(),
            behind: self
                .fleet
                .behind
                .iter()
                .map(|r| r.forward.stats().bytes + r.backward.stats().bytes)
                .sum(),
            calls: [&p.calls, &p.refused, &p.bytes, &p.lists].map(|n| n.load(Relaxed)),
            left: [&c.silent, &c.stale, &c.missed].map(|n| n.load(Relaxed)),
        }
    }

    /// What was spent since then: by each process of control, by each agent's link, between control, at the
    /// platform.
    fn spent(&self, name: &str, since: &Snapshot) {
        let now = self.snapshot();
        let span = (now.at - since.at).as_secs_f64();
        let agents = self.plan.agents.max(1) as f64;
        let cpu: Vec<f64> = now
            .cpu
            .iter()
            .zip(&since.cpu)
            .map(|(a, b)| spent(*a, *b) / span)
            .collect();
        let all = |name: &str| {
            self.fleet
                .controls
                .iter()
                .filter_map(|v| v.status(name))
                .max()
                .unwrap_or(0)
        };
        let descriptors = self
            .fleet
            .controls
            .iter()
            .map(fleet::Member::descriptors)
            .max()
            .unwrap_or(0);
        let line = self.line(name).number("span_s", span).number(
            "vault_core_mean",
            cpu.iter().sum::<f64>() / cpu.len().max(1) as f64,
        );
        let line = line.number("vault_core_most", cpu.iter().copied().fold(0.0, f64::max));
        let line = line
            .number("rss_mb", all("VmRSS") as f64 / 1e3)
            .number("rss_most_mb", all("VmHWM") as f64 / 1e3);
        let line = line
            .with("descriptors", descriptors)
            .with("threads", all("Threads"));
        let mut line = line.number("up_b_s", (now.up - since.up) as f64 / span / agents);
        for (kind, name) in KINDS.iter().enumerate() {
            let (bytes, frames) = (
                now.down[kind] - since.down[kind],
                now.frames[kind] - since.frames[kind],
            );
            line = line.number(&format!("{name}_b_s"), bytes as f64 / span / agents);
            line = line.with(&format!("{name}_frames"), frames);
        }
        line = line.number(
            "between_vaults_b_s",
            (now.between - since.between) as f64 / span,
        );
        line = line
            .with("links", now.links - since.links)
            .with("silent", now.left[0] - since.left[0]);
        line = line
            .with("stale", now.left[1] - since.left[1])
            .with("missed", now.left[2] - since.left[2]);
        line = line.number(
            "platform_calls_s",
            (now.calls[0] - since.calls[0]) as f64 / span,
        );
        line = line.with("platform_refused", now.calls[1] - since.calls[1]);
        line = line.number(
            "platform_b_s",
            (now.calls[2] - since.calls[2]) as f64 / span,
        );
        line.number(
            "platform_lists_s",
            (now.calls[3] - since.calls[3]) as f64 / span,
        )
        .tell();
        for (n, member) in self.fleet.whole.iter().enumerate() {
            let line = self
                .line(&format!("{name}.{}", member.name))
                .with("mbps", self.plan.mbps);
            let line = line.number("core", spent(now.whole[n], since.whole[n]) / span);
            let line = line.number("rss_mb", member.status("VmRSS").unwrap_or(0) as f64 / 1e3);
            let line = line.number(
                "rss_most_mb",
                member.status("VmHWM").unwrap_or(0) as f64 / 1e3,
            );
            let line = line.with("descriptors", member.descriptors());
            line.number(
                "links_b_s",
                (now.behind - since.behind) as f64 / span / self.plan.whole as f64,
            )
            .tell();
        }
    }

    /// The next version, sent until it is acknowledged: seconds from the first call and from the last, and
    /// calls.
    fn set_config(&mut self) -> Option<(f64, f64, usize)> {
        self.version += 1;
        let text = sizes::config(&self.size, self.plan.services, self.version);
        let (begun, mut calls) = (Instant::now(), 0);
        while begun.elapsed() < LIMIT {
            let at = ctl((calls + self.version as usize) % self.plan.controls);
            calls += 1;
            let sent = Instant::now();
            let answer = HttpClient::new(at, BOUNDS).call(
                "POST",
                "/api/Cfg.Set",
                text.as_bytes(),
                Duration::from_secs(3),
            );
            if answer.is_ok_and(|a| a.status == 200) {
                return Some((
                    begun.elapsed().as_secs_f64(),
                    sent.elapsed().as_secs_f64(),
                    calls,
                ));
            }
            sleep(Duration::from_millis(200));
        }
        None
    }

    fn all_hold(&self, version: u32) -> bool {
        self.agents.iter().all(|a| a.held().config >= version)
    }

    fn all_linked(&self) -> bool {
        self.agents.iter().all(|a| a.linked())
    }

    async fn all(mut self) -> Result<(), String> {
        for control in &mut self.fleet.controls {
            control.up()?;
        }
        self.guard();
        let first = self.set_config();
        let told = first.map_or("never".into(), |f| format!("{:.3}", f.0));
        let disk: u64 = self.disk();
        self.line("hollow.first")
            .with("acknowledged_s", told)
            .with("calls", first.map_or(0, |f| f.2))
            .with("disk_bytes", disk)
            .tell();
        for member in &mut self.fleet.whole {
            member.up()?;
        }
        let whole = self.greeting("hollow.greeting", 0..self.plan.agents);
        self.calm("hollow.calm");
        if !whole {
            // A fleet that never came up says nothing more; its dials take the machine's threads.
            return Ok(());
        }
        self.look_ups();
        self.traffic()?;
        self.changes();
        self.server();
        self.restart_one();
        self.restart_control().await?;
        self.calm("hollow.calm_after");
        Ok(())
    }

    /// Ends all if control takes too many threads: others work on this machine.
    fn guard(&self) {
        let ids: Vec<i32> = self
            .fleet
            .controls
            .iter()
            .filter_map(|v| v.process.as_ref().map(|p| p.id()))
            .collect();
        std::thread::spawn(move || loop {
            let threads: u64 = ids
                .iter()
                .filter_map(|id| fleet::status(*id, "Threads"))
                .sum();
            if threads > THREADS {
                Line::of("hollow.guard")
                    .with("threads", threads)
                    .with("ended", true)
                    .tell();
                // The kernel ends what was started here with it.
                std::process::exit(3);
            }
            sleep(Duration::from_millis(100));
        });
    }

    fn disk(&self) -> u64 {
        let of = |m: &fleet::Member| {
            let at = m
                .log
                .with_file_name(m.name.replace("core", "disk"))
                .join("vault.redb");
            std::fs::metadata(at).map_or(0, |d| d.len())
        };
        self.fleet.controls.iter().map(of).max().unwrap_or(0)
    }

    /// These agents begin at once.
    fn greeting(&mut self, name: &str, who: std::ops::Range<usize>) -> bool {
        let before = self.snapshot();
        let every = Duration::from_millis(self.plan.every_ms);
        for agent in &self.agents[who] {
            agent.run(true);
            sleep(every);
        }
        let many = self.plan.agents;
        let config = until(LIMIT, || self.all_hold(1));
        let linked = until(LIMIT, || self.all_linked());
        let fronts = until(LIMIT, || self.agents.iter().all(|a| a.held().ready >= many));
        let since = |more: Option<f64>| config.zip(more).map(|(a, b)| a + b);
        let (linked, fronts) = (since(linked), since(fronts));
        // Processor time comes in hundredths of a second.
        sleep(Duration::from_secs(1));
        self.line(name)
            .with("every_ms", self.plan.every_ms)
            .with("all_hold_config_s", seconds(config))
            .with("all_linked_s", seconds(linked))
            .with("all_know_all_s", seconds(fronts))
            .tell();
        self.spent(name, &before);
        config.is_some() && linked.is_some()
    }

    fn calm(&self, name: &str) {
        sleep(Duration::from_secs(2));
        let before = self.snapshot();
        sleep(Duration::from_secs(self.plan.seconds));
        self.spent(name, &before);
    }

    fn look_ups(&self) {
        let before = self.snapshot();
        let (mut took, mut ok, mut caller) = (Vec::new(), 0, HttpClient::new(dir(0), BOUNDS));
        for n in 0..500 {
            let path = format!(
                "/api/lookup?name=a.example&geo={}&az={}",
                sizes::region(n),
                sizes::zone(n)
            );
            let asked = Instant::now();
            let answer = caller.call("GET", &path, b"", Duration::from_secs(1));
            took.push(asked.elapsed().as_secs_f64() * 1000.0);
            ok += usize::from(answer.is_ok_and(|a| a.status == 200));
        }
        let (took, now) = (Samples::of(took), self.snapshot());
        let line = self
            .line("hollow.look_up")
            .with("asked", 500)
            .with("answered", ok);
        let line = line
            .number("passed_ms", took.median())
            .number("passed_99_ms", took.at(0.99));
        // Whatever else that machine did meanwhile is in it.
        line.number(
            "vault_cpu_ms_each",
            (now.cpu[0] - before.cpu[0]) * 1000.0 / 500.0,
        )
        .tell();
    }

    /// Requests through a whole limiter, and straight to a server.
    fn traffic(&self) -> Result<(), String> {
        let Some(proxy) = self.fleet.whole.first() else {
            return Ok(());
        };
        let taken = traffic::serve().map_err(|e| format!("hollow servers: {e}"))?;
        let text = sizes::config(&self.size, self.plan.services, self.version);
        let config = Config::read(text.as_bytes()).map_err(|e| e.to_string())?;
        let span = Duration::from_secs(self.plan.seconds);
        for rate in self
            .plan
            .traffic
            .split(',')
            .filter_map(|r| r.parse::<f64>().ok())
            .filter(|r| *r > 0.0)
        {
            let line = |name| self.line(name).number("rate", rate);
            let straight = traffic::send(sizes::apart(0).into(), &config, rate, span, &taken);
            straight.tell(line("hollow.traffic.straight"));
            for play in 0..2 {
                let (before, at) = (proxy.cpu_s(), Instant::now());
                let came = traffic::send(fleet::whole_front(0).into(), &config, rate, span, &taken);
                let (cpu, passed) = (proxy.cpu_s() - before, at.elapsed().as_secs_f64());
                let line = line("hollow.traffic.proxy")
                    .with("play", play)
                    .number("core", cpu / passed);
                let line = line.number("rss_mb", proxy.status("VmRSS").unwrap_or(0) as f64 / 1e3);
                let line = line.with("descriptors", proxy.descriptors());
                came.tell(line.with("threads", proxy.status("Threads").unwrap_or(0)));
            }
        }
        Ok(())
    }

    fn changes(&mut self) {
        for n in 0..self.plan.changes {
            let before = self.snapshot();
            let done = self.set_config();
            let acknowledged = Instant::now();
            let version = self.version;
            let held = until(LIMIT, || self.all_hold(version));
            let whole = self.whole_applied(version);
            let applied = |a: &Arc<Agent>| {
                let at = a.held().at[0]?;
                Some(at.saturating_duration_since(acknowledged).as_secs_f64())
            };
            let after = Samples::of(self.agents.iter().filter_map(applied).collect());
            let line = self.line("hollow.change").with("n", n);
            let line = line.with(
                "acknowledged_s",
                done.map_or("never".into(), |d| format!("{:.3}", d.0)),
            );
            let line = line.with("calls", done.map_or(0, |d| d.2));
            let line = line.with(
                "last_call_s",
                done.map_or("never".into(), |d| format!("{:.3}", d.1)),
            );
            let line = line
                .with("all_hold_s", seconds(held))
                .number("half_hold_s", after.median());
            line.with("whole_applied_s", whole)
                .with("disk_bytes", self.disk())
                .tell();
            sleep(Duration::from_secs(2));
            self.spent("hollow.change.spent", &before);
        }
    }

    /// When the last of the whole limiters' proxies had it in force, since its acknowledgement.
    fn whole_applied(&self, version: u32) -> String {
        if self.plan.whole == 0 {
            return "none".into();
        }
        let what = format!("event=applied version={version:08x}");
        let proxies = || self.fleet.whole.iter().step_by(2);
        seconds(until(LIMIT, || proxies().all(|m| m.logged(&what) > 0)))
    }

    /// One server drains.
    fn server(&self) {
        for n in 0..2 {
            let (before, draining) = (self.snapshot(), usize::from(n == 0));
            self.platform.turn(0, n == 0);
            let known = until(LIMIT, || {
                self.agents.iter().all(|a| a.held().draining == draining)
            });
            self.line("hollow.server")
                .with("drains", n == 0)
                .with("all_know_s", seconds(known))
                .tell();
            sleep(Duration::from_secs(1));
            self.spent("hollow.server.spent", &before);
        }
    }

    /// One limiter ends, and is back a second later.
    fn restart_one(&self) {
        let before = self.snapshot();
        let (Some(one), Some(other)) = (self.agents.first(), self.agents.get(1)) else {
            return;
        };
        let many = other.held().ready;
        one.run(false);
        let gone = until(LIMIT, || {
            self.agents.iter().skip(1).all(|a| a.held().ready < many)
        });
        sleep(Duration::from_secs(1));
        one.run(true);
        let back = until(LIMIT, || self.agents.iter().all(|a| a.held().ready >= many));
        self.line("hollow.restart_one")
            .with("all_know_gone_s", seconds(gone))
            .with("all_know_back_s", seconds(back))
            .tell();
        self.spent("hollow.restart_one.spent", &before);
    }

    /// A machine of control is killed, and is back two seconds later.
    async fn restart_control(&mut self) -> Result<(), String> {
        let before = self.snapshot();
        self.fleet.controls[0].kill().await;
        let moved = until(LIMIT, || self.all_linked());
        sleep(Duration::from_secs(2));
        self.fleet.controls[0].up()?;
        sleep(Duration::from_secs(2));
        let whole = until(LIMIT, || self.all_linked());
        self.line("hollow.restart_control")
            .with("all_linked_s", seconds(moved))
            .with("all_linked_after_s", seconds(whole))
            .tell();
        self.spent("hollow.restart_control.spent", &before);
        Ok(())
    }
}
