//! Records which quorum membership each core machine reports.

use super::*;

/// A change of a core machine's membership: time in ms, machine, and the membership that it holds, if any.
pub type Held = (u64, String, Option<String>);

const POLL_INTERVAL_MS: u64 = 50;

impl ClusterRun {
    pub(super) async fn watch_memberships(self: Rc<Self>) {
        let runtime = Runtime::simulated(Rc::new(self.world.network.host_network(operator())));
        loop {
            let cores: Vec<Rc<Machine>> = self
                .machines
                .borrow()
                .iter()
                .filter(|m| m.core && !m.gone.get())
                .cloned()
                .collect();
            for core in cores {
                let (cluster_run, runtime) = (self.clone(), runtime.clone());
                spawn_local(async move {
                    let to = SocketAddrV4::new(core.ip, INTERNAL_PORTS[0]);
                    let within = Duration::from_millis(400);
                    let Some((_, body)) = call(&runtime, to, "POST", "/show", b"", within).await
                    else {
                        return;
                    };
                    let held = held(&String::from_utf8_lossy(&body));
                    let mut seen = cluster_run.memberships.borrow_mut();
                    let last = seen.iter().rev().find(|(_, name, _)| *name == core.name);
                    if last.is_none_or(|(_, _, last)| *last != held) {
                        seen.push((cluster_run.now(), core.name.clone(), held));
                    }
                });
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}

fn held(text: &str) -> Option<String> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("replica "))?;
    line.split_once(" at epoch ")
        .map(|(voter_id, _)| voter_id.to_owned())
}
