//! What it costs to bring one change to every member: plain push, a tree, and
//! eager push with lazy announcements (Generalized Gossipsub: CHOKE, IHAVE,
//! IWANT). Counts messages and bytes by the rules of each way; no sockets.
//!
//! `cargo run --release -p cleat-fakes --example dissemination`

mod mesh;
mod push;
mod tally;
mod tree;

use tally::Outcome;

/// A change as it stands in the log, in bytes. Assumed, above the 213 bytes a
/// member that an ordinary change cost (docs/measurements/slopes.jsonl).
pub(crate) const CHANGE_BYTES: u64 = 300;
/// What surrounds a message on our links, in bytes. Assumed on the high side:
/// about the mean of whole frames of a group standing still.
pub(crate) const FRAME_BYTES: u64 = 37;
/// The id in an announcement or a request, in bytes.
pub(crate) const ID_BYTES: u64 = 8;

const SEEDS: u64 = 20;

fn main() {
    println!("members way frozen bytes_max bytes_mean hops_max missed (means over {SEEDS} seeds)");
    for members in [9, 18, 36, 100, 300] {
        for frozen in [false, true] {
            report(members, frozen, "push", |_| push::run(members, frozen));
            report(members, frozen, "tree-3", |seed| {
                tree::run(members, frozen, seed)
            });
            report(members, frozen, "mesh-4", |seed| {
                mesh::run(members, frozen, seed)
            });
        }
    }
}

fn report(members: usize, frozen: bool, way: &str, run: impl Fn(u64) -> Outcome) {
    let outcomes: Vec<_> = (0..SEEDS).map(run).collect();
    let mean = |f: fn(&Outcome) -> f64| outcomes.iter().map(f).sum::<f64>() / SEEDS as f64;
    println!(
        "{members} {way} {frozen} {:.0} {:.0} {:.1} {:.2}",
        mean(|o| o.bytes_max),
        mean(|o| o.bytes_mean),
        mean(|o| o.hops_max),
        mean(|o| o.missed),
    );
}
