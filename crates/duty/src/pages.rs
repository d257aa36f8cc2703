use crate::{Counts, Message, Page, Sums};

/// Largest number of bytes of the sums in one page; with the rest of the page and of its envelope
/// it fits into a datagram between daemons.
const PAGE_BYTES_MAX: usize = 560;

/// Bytes of a sum beside the name of its account: the length of the name and the count.
const SUM_BYTES: usize = 5;

/// Returns the pages with the sums that differ from those that were told, and with the total of a
/// window that is over.
pub(crate) fn pages(sums: &Sums, told: Option<&Counts>) -> Vec<Message> {
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut bytes = 0;
    for (account, sum) in sums.counts.entries() {
        if told.is_some_and(|told| told.get(account) == *sum) {
            continue;
        }
        let entry_bytes = account.len() + SUM_BYTES;
        if bytes + entry_bytes > PAGE_BYTES_MAX && !page.is_empty() {
            pages.push(std::mem::take(&mut page));
            bytes = 0;
        }
        bytes += entry_bytes;
        page.push((account.clone(), *sum));
    }
    if !page.is_empty() || (pages.is_empty() && sums.closed_total.is_some()) {
        pages.push(page);
    }
    let message = |entries| {
        Message::Page(Page {
            window: sums.window,
            origin: sums.origin.clone(),
            closed_total: sums.closed_total,
            sums: entries,
        })
    };
    pages.into_iter().map(message).collect()
}
