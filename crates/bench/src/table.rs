pub(crate) fn all() -> String {
    String::new()
}
