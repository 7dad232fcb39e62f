//! Tests of the fabric: choice of entries and injected faults.
use std::fs;
use std::time::Duration;

use standin::fabric::Entries;
use standin::fabric::Fault;

fn fault(loss: u32, duplicate: u32) -> Fault {
    Fault {
        loss,
        duplicate,
        delay: Duration::ZERO,
        random: fastrand::Rng::with_seed(1),
    }
}

/// Shares of faults in percent, and the copies of each datagram that result.
struct Share {
    loss: u32,
    duplicate: u32,
    copies: usize,
}

fn copies_match(share: &Share) {
    let mut fault = fault(share.loss, share.duplicate);
    for _ in 0..1000 {
        assert_eq!(fault.copies().len(), share.copies);
    }
}

cases::cases! { copies_match;
    no_fault: &Share { loss: 0, duplicate: 0, copies: 1 },
    all_lost: &Share { loss: 100, duplicate: 100, copies: 0 },
    all_duplicated: &Share { loss: 0, duplicate: 100, copies: 2 },
}

#[test]
fn delay_stays_below_its_limit() {
    let mut fault = Fault {
        delay: Duration::from_millis(10),
        ..fault(0, 0)
    };
    for _ in 0..1000 {
        assert!(fault.copies().iter().all(|delay| *delay < fault.delay));
    }
}

#[test]
fn every_entry_is_chosen() {
    let addresses = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
    let addresses: Vec<_> = addresses
        .iter()
        .filter_map(|text| text.parse().ok())
        .collect();
    let entries = Entries::new(addresses.clone(), None);
    let mut random = fastrand::Rng::with_seed(1);
    let mut chosen: Vec<_> = (0..1000)
        .filter_map(|_| entries.choose(&mut random))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, addresses);
}

#[test]
fn file_replaces_the_entries_unless_a_line_is_invalid() {
    let file = std::env::temp_dir().join(format!("standin-entries-{}", std::process::id()));
    fs::write(&file, "127.0.0.1:1\n").expect("the file can be written");
    let mut entries = Entries::new(Vec::new(), Some(file.clone()));
    let mut random = fastrand::Rng::with_seed(1);
    let first = entries.choose(&mut random);
    assert_eq!(first, "127.0.0.1:1".parse().ok());
    fs::write(&file, "\n127.0.0.1:2\n").expect("the file can be written");
    entries.reload();
    assert_eq!(entries.choose(&mut random), "127.0.0.1:2".parse().ok());
    fs::write(&file, "127.0.0.1:3\nnonsense\n").expect("the file can be written");
    entries.reload();
    assert_eq!(entries.choose(&mut random), "127.0.0.1:2".parse().ok());
    fs::remove_file(&file).expect("the file can be removed");
}
