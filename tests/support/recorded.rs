//! Bytes that an earlier release wrote, for tests that wire and storage formats keep them.

/// Lines of a name, a colon and hexadecimal digits.
pub struct Recorded(pub &'static str);

impl Recorded {
    /// The hexadecimal digits recorded under a name.
    pub fn digits(&self, name: &str) -> &'static str {
        let digits = |line: &'static str| line.strip_prefix(name)?.strip_prefix(": ");
        self.0.lines().find_map(digits).unwrap_or_else(|| panic!("no bytes recorded for {name}"))
    }

    /// The bytes recorded under a name.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        self.digits(name).as_bytes().chunks(2).map(byte).collect()
    }
}

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
