/// Whether a request met the targets of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attainment {
    /// First token and gaps were within the targets.
    Met,
    /// The request was late, broken off or refused.
    Missed,
    /// The caller left before the targets could be judged.
    NotJudged,
}
