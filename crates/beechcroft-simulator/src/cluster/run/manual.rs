//! Manual runs: a cluster without traffic, to which a test sends operations and faults step by step. The programs are the
//! same as in any other run.

use super::*;
use tokio::task::JoinHandle;

/// Status and body of a call; `None` without a complete response in time.
pub type CallResult = Option<(u16, Vec<u8>)>;

/// Handle of a manual run.
#[derive(Clone)]
pub struct ManualRun(Rc<ClusterRun>);

/// Starts machines and units, and runs them until `script` ends. No initial configuration is sent.
pub fn run_manual<T, F>(scenario: &Scenario, script: impl FnOnce(ManualRun) -> F) -> T
where
    F: std::future::Future<Output = T>,
{
    run_simulation(scenario, |scenario| async move {
        script(ManualRun(start_cluster(scenario))).await
    })
}

impl ManualRun {
    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.0.now()
    }

    /// Waits for some simulated time.
    pub async fn wait(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    fn to(&self, core: usize) -> SocketAddrV4 {
        let cores = self.0.world.cores.borrow();
        SocketAddrV4::new(cores[core % cores.len()], CONTROL_PORT)
    }

    /// One call to a core machine, with a timeout of `within_ms`.
    pub async fn call(
        &self,
        core: usize,
        method: &str,
        path: &str,
        body: &[u8],
        within_ms: u64,
    ) -> CallResult {
        let runtime = Runtime::simulated(Rc::new(self.0.world.network.host_network(operator())));
        call(
            &runtime,
            self.to(core),
            method,
            path,
            body,
            Duration::from_millis(within_ms),
        )
        .await
    }

    /// The same in a task of its own.
    pub fn send(
        &self,
        core: usize,
        path: &str,
        body: &[u8],
        within_ms: u64,
    ) -> JoinHandle<CallResult> {
        let (hand, path, body) = (self.clone(), path.to_owned(), body.to_vec());
        spawn_local(async move { hand.call(core, "POST", &path, &body, within_ms).await })
    }

    /// Sends an operation until a control node gives a final response; returns its status.
    pub async fn send_operation(&self, first: usize, path: &str, body: &[u8]) -> Option<u16> {
        self.call_until_final(first, "POST", path, body).await
    }

    /// Calls one control node after the other with a timeout of about a second each, until one gives a final response.
    pub async fn call_until_final(
        &self,
        first: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<u16> {
        let cores = self.0.world.cores.borrow().len();
        let mut pause = 100;
        for nth in 0..30 {
            let within = 1000 + body.len() as u64 / 100;
            let heard = self
                .call(first + nth % cores, method, path, body, within)
                .await;
            if let Some((status @ (200..=299 | 400 | 409 | 412 | 413 | 422), _)) = heard {
                return Some(status);
            }
            self.wait(pause).await;
            pause = (pause * 2).min(1000);
        }
        None
    }

    /// Starts an event now.
    pub fn inject(&self, kind: EventKind) {
        let event = Event { at: 0.0, kind };
        spawn_local(self.0.clone().event(0, event, Instant::now()));
    }

    /// A configuration with the given version and base version; each `mark` gives another body.
    pub fn config(&self, version: u32, base: u32, mark: u64) -> Vec<u8> {
        let (sent, _) = self.0.config(0, false, false);
        let mut body: serde_json::Value =
            serde_json::from_slice(&sent.body).expect("the world's own");
        body["version"] = format!("{version:08x}").into();
        body["baseVersion"] = format!("{base:08x}").into();
        body["virtualHosts"][0]["pathRules"][0]["targetMs"] = (400 + mark).into();
        body.to_string().into_bytes()
    }

    /// A call to a core machine's internal port, as proxies make it.
    async fn inside(&self, core: usize, path: &str, body: &[u8]) -> Option<Vec<u8>> {
        let runtime = Runtime::simulated(Rc::new(self.0.world.network.host_network(operator())));
        let to = SocketAddrV4::new(*self.to(core).ip(), INTERNAL_PORTS[0]);
        let heard = call(&runtime, to, "POST", path, body, Duration::from_secs(1)).await;
        heard.filter(|heard| heard.0 == 200).map(|heard| heard.1)
    }

    /// Reads a core machine's copy of a register.
    pub async fn read_register(&self, core: usize, register: u8) -> Option<Vec<u8>> {
        self.inside(core, "/copy", &[register]).await
    }

    /// Sends a vote to revert a rollout, encoded as a proxy encodes it.
    pub async fn vote_to_revert(&self, core: usize, vote: &[u8]) -> bool {
        self.inside(core, "/back", vote).await.is_some()
    }

    /// The configuration version that a core machine reads back.
    pub async fn config_version(&self, core: usize) -> Option<u32> {
        let (status, body) = self.call(core, "GET", "/config/show", b"", 3000).await?;
        let body: serde_json::Value = serde_json::from_slice(&body)
            .ok()
            .filter(|_| status == 200)?;
        u32::from_str_radix(body["version"].as_str()?, 16).ok()
    }
}
