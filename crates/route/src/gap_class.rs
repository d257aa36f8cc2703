//! Classes of targets for the gap between events, in which daemons report their running streams.

/// Number of classes.
pub const GAP_CLASSES: usize = 5;

/// Upper bounds of the classes but the last, which holds larger targets and streams without one.
const BOUNDS_US: [u64; GAP_CLASSES - 1] = [128_000, 256_000, 512_000, 1_024_000];

/// Target that stands for each class: the geometric mean of its bounds.
pub const GAP_CLASS_TARGETS_US: [f64; GAP_CLASSES] =
    [90_510.0, 181_019.0, 362_039.0, 724_077.0, 1_448_155.0];

/// Returns the class of a target; 0 stands for none.
pub fn gap_class(event_gap_us: u64) -> usize {
    if event_gap_us == 0 {
        return GAP_CLASSES - 1;
    }
    BOUNDS_US.partition_point(|&bound_us| bound_us <= event_gap_us)
}
