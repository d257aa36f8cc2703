/// Tournament tree of the upstreams at one distance, ordered by load key.
///
/// Each inner node holds the minimum of its children, so the lowest key is at the root and an
/// update takes a logarithmic number of comparisons. The key of an upstream that can't be selected
/// is infinite.
#[derive(Debug, Clone, Default)]
pub struct CandidateTree {
    /// Indexes of the members in the pool, in the order of the leaves.
    members: Vec<u32>,
    /// Keys of the nodes: the root at 1, the children of node `n` at `2 * n` and `2 * n + 1`.
    tree: Vec<f64>,
}

impl CandidateTree {
    /// Adds a member and returns its position.
    pub fn push(&mut self, member: u32) -> u32 {
        let position = self.members.len();
        self.members.push(member);
        u32::try_from(position).unwrap_or(u32::MAX)
    }

    /// Allocates the tree after the last `push`; all keys start infinite.
    pub fn build(&mut self) {
        let leaves = self.members.len().next_power_of_two();
        self.tree = vec![f64::INFINITY; 2 * leaves];
    }

    /// Sets the key at a position.
    pub fn set(&mut self, position: u32, key: f64) {
        let mut node = self.tree.len() / 2 + position as usize;
        self.tree[node] = key;
        while node > 1 {
            node /= 2;
            let least = self.tree[2 * node].min(self.tree[2 * node + 1]);
            if self.tree[node].total_cmp(&least).is_eq() {
                return;
            }
            self.tree[node] = least;
        }
    }

    /// Returns the members in the order of their positions.
    pub fn members(&self) -> &[u32] {
        &self.members
    }

    /// Returns the key at a position.
    pub fn key(&self, position: u32) -> f64 {
        self.tree[self.tree.len() / 2 + position as usize]
    }

    /// Returns the member with the lowest finite key, and the key.
    pub fn best(&self) -> Option<(u32, f64)> {
        let least = *self.tree.get(1)?;
        if !least.is_finite() {
            return None;
        }
        let leaves = self.tree.len() / 2;
        let mut node = 1;
        while node < leaves {
            node *= 2;
            if self.tree[node].total_cmp(&least).is_ne() {
                node += 1;
            }
        }
        Some((self.members[node - leaves], least))
    }
}
