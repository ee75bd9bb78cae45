//! Measures the cost of sharing allowances and how much of them can be used. Run it with
//! `cargo bench -p glenwood-usage [-- FILE.svg]`. It uses fixed seeds and virtual time, except for the cost of a
//! decision and of a forged datagram.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::time::Instant;

use common::*;

fn main() {
    let svg = std::env::args().skip(1).find(|a| a.ends_with(".svg"));
    decision();
    forged();
    bytes();
    let rows = against_loss();
    if let Some(path) = svg {
        std::fs::write(&path, plot(&rows)).expect("the SVG file can be written");
        println!("written: {path}");
    }
}

/// Measures the cost of one decision with a hundred thousand tenants.
fn decision() {
    let tenants = 100_000;
    let mut fleet = Fleet::new(4, &vec![1_000_000; tenants], 1);
    fleet.run(4 * WINDOW_MS, &[], any_instance(4));
    let usage = fleet.usage(0);
    let mut random = Random(2);
    let handles: Vec<usize> = (0..1_000_000).map(|_| random.below(tenants as u64) as usize).collect();
    // The first pass includes the rollover of each tenant's counters in the window.
    for pass in ["first touch", "again"] {
        let started = Instant::now();
        let granted = handles.iter().filter(|handle| black_box(usage.spend(&[(**handle, 1)]))).count();
        let ns_per_decision = started.elapsed().as_nanos() as f64 / handles.len() as f64;
        println!("decision, {pass}: {ns_per_decision:.0} ns, {granted} of {} granted", handles.len());
    }
    println!("memory of {tenants} tenants: {} bytes each", usage.key_counter_bytes());
}

/// Measures the cost of rejecting a forged datagram of the maximum length.
fn forged() {
    let mut fleet = Fleet::new(4, &[1000], 1);
    let (usage, mut out, bytes) = (fleet.usage(0), Vec::new(), [7; 1200]);
    let started = Instant::now();
    for _ in 0..100_000 {
        let _ = black_box(usage.receive(black_box(&bytes), &mut out));
    }
    println!(
        "forged datagram: {:.0} ns, {} rejected",
        started.elapsed().as_nanos() as f64 / 100_000.0,
        usage.rejected
    );
}

/// Measures the bytes per second sent by each instance, with one tenant that makes requests at all instances
/// and a hundred that make them at one each.
fn bytes() {
    for n in [4, 40, 400] {
        let mut fleet = Fleet::new(n, &[1000; 101], 3);
        let seconds = if n > 100 { 5 } else { 20 };
        let rates: Vec<f64> = (0..101).map(|key| if key == 0 { 400.0 } else { 10.0 }).collect();
        fleet.run(
            2 * WINDOW_MS,
            &rates,
            |random, key| if key == 0 { random.below(n as u64) as usize } else { key % n },
        );
        fleet.reset_counts();
        fleet.run(
            seconds * 1000,
            &rates,
            |random, key| if key == 0 { random.below(n as u64) as usize } else { key % n },
        );
        println!(
            "{n} instances: {:.0} bytes per second sent by each",
            fleet.bytes as f64 / n as f64 / seconds as f64
        );
    }
}

/// Measures the overshoot and the used share of an allowance for different loss rates, exchange intervals and
/// numbers of instances. The tenant requests twice its allowance at two instances.
fn against_loss() -> Vec<(usize, u64, f64, f64, f64)> {
    let mut rows = Vec::new();
    println!("instances exchange-ms loss overshoot used");
    for n in [4, 16, 64] {
        for exchange in [50, 100, 400] {
            for loss in [0.0, 0.1, 0.3, 0.5] {
                let (mut over, mut used) = (0.0f64, 0.0);
                for seed in 0..3 {
                    let mut fleet = Fleet::new(n, &[1000], 10 + seed);
                    for instance in 0..n {
                        let mut settings_of_instance = settings(n, instance);
                        settings_of_instance.exchange_ms = exchange;
                        fleet.start_with(instance, settings_of_instance);
                    }
                    fleet.link = Link { loss, delay: (1, 20), duplication: 0.0 };
                    fleet.run(4 * WINDOW_MS, &[], any_instance(n));
                    fleet.run(2 * WINDOW_MS, &[400.0], |random, _| random.below(2) as usize);
                    fleet.reset_counts();
                    fleet.run(6 * WINDOW_MS, &[400.0], |random, _| random.below(2) as usize);
                    over = over.max(fleet.overshoot());
                    let shares = fleet.full_windows(0);
                    used += shares.iter().sum::<f64>() / shares.len() as f64 / 3.0;
                }
                println!("{n:9} {exchange:11} {loss:4} {over:9.3} {used:.3}");
                rows.push((n, exchange, loss, over, used));
            }
        }
    }
    rows
}

/// Draws the rows as SVG: the used share against loss, a line for each number of instances and interval, and
/// the derived bound.
fn plot(rows: &[(usize, u64, f64, f64, f64)]) -> String {
    let (x, y) = (|loss: f64| 60.0 + loss * 900.0, |part: f64| 320.0 - (part - 0.5) * 500.0);
    let mut out = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 760 380\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"760\" height=\"380\" fill=\"white\"/>\n\
         <text x=\"60\" y=\"20\">Share of an allowance that a tenant gets at two instances (lines), overshoot (crosses), derived bound (dashed)</text>\n",
    );
    for part in [0.5, 0.6, 0.7, 0.8, 0.9, 1.0] {
        out += &format!("<line x1=\"60\" x2=\"520\" y1=\"{0}\" y2=\"{0}\" stroke=\"#ddd\"/><text x=\"25\" y=\"{1}\">{part}</text>\n", y(part), y(part) + 4.0);
    }
    out += &format!(
        "<line x1=\"60\" x2=\"520\" y1=\"{0}\" y2=\"{0}\" stroke=\"black\" stroke-dasharray=\"6 4\"/>\n",
        y(1.0)
    );
    for loss in [0.0, 0.1, 0.3, 0.5] {
        out += &format!("<text x=\"{}\" y=\"345\">{:.0}%</text>\n", x(loss) - 8.0, 100.0 * loss);
    }
    out += "<text x=\"240\" y=\"365\">datagrams lost</text>\n";
    let colours = ["#1b6ca8", "#c0392b", "#2e7d32"];
    for (line, of) in rows.chunks(4).enumerate() {
        let points: Vec<String> =
            of.iter().map(|r| format!("{:.1},{:.1}", x(r.2), y(r.4.max(0.5)))).collect();
        let dash = ["", "4 2", "1 3"][line % 3];
        let colour = colours[line / 3 % 3];
        out += &format!(
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-dasharray=\"{dash}\"/>\n",
            points.join(" ")
        );
        for r in of {
            out += &format!(
                "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">+</text>\n",
                x(r.2) - 3.0,
                y(1.0 + r.3) + 4.0
            );
        }
        let at = 40 + 18 * line;
        out += &format!("<line x1=\"540\" x2=\"565\" y1=\"{at}\" y2=\"{at}\" stroke=\"{colour}\" stroke-dasharray=\"{dash}\"/><text x=\"572\" y=\"{}\">{} instances, every {} ms</text>\n", at + 4, of[0].0, of[0].1);
    }
    out + "</svg>\n"
}
