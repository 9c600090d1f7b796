//! Prints every granted move of one run.
//!
//! `cargo run --release -p buckthornmast_replay --example moves -- DEPLOYMENT TRACE SEED POLICY`, for example with
//! `kuehlwerk burst 1 marginal`; any other deployment than `kuehlwerk` is Peach Groove's.
//!
//! A line has the time of the move in seconds since the start of the run, the artifact, the action, its reason and its
//! value. The first line is the number of copies of replaced versions that remain after 2,400 s.

use buckthornmast_placement::named::NamedPolicy;
use buckthornmast_replay::{
    deployment::{KUEHLWERK, PEACH_GROOVE},
    routing::PowerOfTwo,
    trace::{KINDS, Trace},
    world,
};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [deployment, trace, seed, policy] = arguments.as_slice() else {
        eprintln!("usage: moves DEPLOYMENT TRACE SEED POLICY");
        return;
    };
    let deployment = match deployment.as_str() {
        "kuehlwerk" => KUEHLWERK,
        _ => PEACH_GROOVE,
    };
    let kind = KINDS.into_iter().find(|kind| kind.name() == trace);
    let (Some(kind), Ok(seed), Ok(policy)) = (kind, seed.parse(), policy.parse::<NamedPolicy>())
    else {
        eprintln!("error: unknown trace or policy, or the seed is not a number");
        return;
    };
    let specs = deployment.specs(seed);
    let trace = Trace::new(&deployment, &specs, kind, seed, 2400.0);
    let score = world::run(&deployment, &specs, &trace, &[policy; 2], &PowerOfTwo, seed);
    println!(
        "# {} copies of replaced versions remain at the end",
        score.replaced_copies
    );
    for entry in &score.log {
        println!("{entry}");
    }
}
