use lentil_core::{ids::Fingerprint, stream::EndReason};

/// Marks a prompt that crashes the engine that runs it.
pub const POISON: &str = "<<crash>>";

/// The token that any engine makes at `offset` of the answer to a prompt.
pub fn token(prompt: &str, adapter: &str, offset: u64) -> String {
    let parts = [prompt.as_bytes(), adapter.as_bytes(), &offset.to_le_bytes()];
    format!(" w{}", Fingerprint::of(&parts).0 % 10_000)
}

/// The whole answer to a prompt, as text.
pub fn answer(prompt: &str, adapter: &str, max: u32) -> String {
    (0..length(prompt, max).0).map(|i| token(prompt, adapter, i)).collect()
}

/// Tokens of the answer and why it ends; a prompt may ask for a length by `len=N`.
pub fn length(prompt: &str, max: u32) -> (u64, EndReason) {
    let asked = prompt
        .split("len=")
        .nth(1)
        .map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
    match asked.and_then(|digits| digits.parse::<u64>().ok()) {
        Some(length) if length < u64::from(max) => (length, EndReason::Stop),
        _ => (u64::from(max), EndReason::Length),
    }
}
