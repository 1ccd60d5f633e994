//! Byte strings recorded from an earlier release, for tests that the wire and storage formats stay compatible with
//! it.

/// Recorded byte strings, one per line: a name, a colon, a space and hexadecimal digits.
pub struct Recorded(pub &'static str);

impl Recorded {
    /// Returns the hexadecimal digits recorded under a name.
    pub fn digits(&self, name: &str) -> &'static str {
        let digits = |line: &'static str| line.strip_prefix(name)?.strip_prefix(": ");
        self.0.lines().find_map(digits).unwrap_or_else(|| panic!("no bytes recorded for {name}"))
    }

    /// Returns the bytes recorded under a name.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        self.digits(name).as_bytes().chunks(2).map(byte).collect()
    }
}

/// Formats bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
