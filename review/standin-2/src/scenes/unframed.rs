//! An entry instance is cut off from all engines, which answer without a length.

use std::{thread, time::Duration};

use super::{request, start};
use crate::{Stage, Verdict, engine::Reply};

/// Bound of the rule, from the sheet of the installation.
const CONTACT: Duration = Duration::from_millis(3000);

pub fn play(stage: &Stage) -> Verdict {
    let (mut site, engines) = start(stage, 2, 3)?;
    for engine in &engines {
        engine.set_reply(Reply::Unframed);
    }
    let cut = site.entry(0);
    if stage.has_trouble {
        // From this address no engine can be reached; callers and other instances reach the instance as before.
        site.write_settings(cut, Some("::1"));
        site.signal(cut, "HUP");
        stage
            .record
            .line("entry instance 1 is cut off from the engines");
    }
    thread::sleep(CONTACT + Duration::from_millis(1500));
    let mut served = [0_usize; 2];
    let mut lost = 0;
    const REQUESTS: usize = 60;
    for number in 0..REQUESTS {
        for (entry, served) in served.iter_mut().enumerate() {
            let id = format!("e{entry}-{number}");
            let answer = request(stage, &site.callers(entry), "POST", "/confirm/1", &id);
            let is_served = answer.is_some_and(|answer| {
                answer.status() == 200 && answer.is_complete && answer.body == b"{\"done\":true}"
            });
            let has_run = engines
                .iter()
                .any(|engine| engine.runs().iter().any(|(_, run)| *run == id));
            *served += usize::from(is_served);
            lost += usize::from(has_run && !is_served);
        }
        thread::sleep(Duration::from_millis(30));
    }
    let [at_cut, at_other] = served;
    let failed = 2 * REQUESTS - at_cut - at_other;
    stage.record.line(format!(
        "first tries of {REQUESTS} served at the instance that is cut off: {at_cut}, at the other: {at_other}; run and not answered: {lost}"
    ));
    let is_worse = at_cut * 3 < at_other * 2 && failed > 10 + 2 * REQUESTS / 50;
    Ok(!is_worse)
}
