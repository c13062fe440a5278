use super::{ReadBudget, ReadPurpose};

/// Returns the number of reads granted to a purpose within one second, requested every 10 ms.
fn reads_in_a_second(budget: &mut ReadBudget, from_ms: u64, purpose: ReadPurpose) -> usize {
    (0..100).filter(|step| budget.take(from_ms + 10 * step, purpose)).count()
}

#[test]
fn status_queries_keep_their_share_when_scans_are_charged_beyond_the_budget() {
    let mut budget = ReadBudget::new(100.0);
    (0..1_000).for_each(|_| budget.charge(1, ReadPurpose::BatchScan));
    let reads = reads_in_a_second(&mut budget, 1_000, ReadPurpose::StatusQuery);
    assert!((30..=60).contains(&reads), "{reads}");
    assert_eq!(reads_in_a_second(&mut budget, 1_000, ReadPurpose::Request), 0);
}

#[test]
fn pause_requested_by_the_store_applies_to_status_queries() {
    let mut budget = ReadBudget::new(100.0);
    budget.pause(1_000, 500);
    assert!(!budget.take(1_400, ReadPurpose::StatusQuery));
    assert!(!budget.may_read_for_status_batch(1_400));
    assert!(budget.take(1_500, ReadPurpose::StatusQuery));
}

#[test]
fn less_urgent_purposes_leave_more_of_the_budget() {
    let left_by = |purpose| {
        let mut budget = ReadBudget::new(100.0);
        while budget.take(1, purpose) {}
        budget.available(1).round() as u32
    };
    assert_eq!(left_by(ReadPurpose::Request), 10);
    assert_eq!(left_by(ReadPurpose::Dependency), 25);
    assert_eq!(left_by(ReadPurpose::LiveRecord), 50);
}
