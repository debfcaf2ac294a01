//! Which membership each core machine says it holds, asked as an operator asks it.

use super::*;

/// A core machine's word: since when (ms), who, and the membership that it holds, if any.
pub type Held = (u64, String, Option<String>);

const EVERY_MS: u64 = 50;

impl Day {
    pub(super) async fn watches(self: Rc<Self>) {
        let ground = Ground::world(Rc::new(self.stage.fabric.seat(operator())));
        let mut last: BTreeMap<String, Option<String>> = BTreeMap::new();
        loop {
            let cores: Vec<Rc<Machine>> =
                self.machines.borrow().iter().filter(|m| m.core && !m.gone.get()).cloned().collect();
            let asked = cores.iter().map(|core| async {
                let to = SocketAddrV4::new(core.ip, INSIDE[0]);
                let within = Duration::from_millis(400);
                let (_, body) = call(&ground, to, "POST", "/show", b"", within).await?;
                Some((core.name.clone(), held(&String::from_utf8_lossy(&body))))
            });
            for (name, held) in futures_util::future::join_all(asked).await.into_iter().flatten() {
                if last.get(&name) != Some(&held) {
                    last.insert(name.clone(), held.clone());
                    self.memberships.borrow_mut().push((self.now(), name, held));
                }
            }
            sleep(Duration::from_millis(EVERY_MS)).await;
        }
    }
}

fn held(text: &str) -> Option<String> {
    let line = text.lines().find_map(|line| line.strip_prefix("membership "))?;
    line.split_once(" at epoch ").map(|(voter_id, _)| voter_id.to_owned())
}
