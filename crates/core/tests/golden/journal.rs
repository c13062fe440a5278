//! Records the messages of the controllers and compares them with the golden files.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use quartzgate_wire::http::Response;

use crate::cbor::{body_form, body_text, without_digits};

/// The recipients of a message: of a request, or of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    ToStore,
    ToCloud,
    ToWorkers,
    ToControllers,
    AnswersToUsers,
    AnswersToWorkers,
    AnswersToControllers,
}

/// The messages of the controllers. The first message of each form is shown with all its bytes;
/// a digest per channel covers all messages.
#[derive(Default)]
pub struct Journal {
    forms: BTreeSet<(Channel, String)>,
    shown: Vec<(Channel, String)>,
    digests: BTreeMap<Channel, Digest>,
    /// All messages, written to the `GOLDEN_TRACE` folder to find what has changed a digest.
    trace: String,
}

/// Number and FNV-1a hash of all messages of a channel.
struct Digest {
    messages: u64,
    hash: u64,
}

impl Digest {
    fn add(&mut self, text: &str) {
        self.messages += 1;
        for byte in text.bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

impl Default for Digest {
    fn default() -> Self {
        Digest { messages: 0, hash: 0xcbf2_9ce4_8422_2325 }
    }
}

impl Journal {
    pub fn request(
        &mut self,
        channel: Channel,
        from: &str,
        to: &str,
        method: &str,
        target: &str,
        body: &[u8],
    ) {
        let form = format!("{method} {} {}", target_form(target), body_form(body));
        let text = format!("{from} -> {to}: {method} {target}\n{}", indented(body));
        self.record(channel, form, text);
    }

    pub fn answer(
        &mut self,
        channel: Channel,
        request_line: &str,
        request: &[u8],
        answer: &Response,
    ) {
        let form = format!(
            "{} {} {} {:?} {}",
            without_digits(request_line),
            body_form(request),
            answer.status,
            answer.retry_after_s.is_some(),
            body_form(&answer.body)
        );
        let retry_after =
            answer.retry_after_s.map_or(String::new(), |s| format!(", retry after {s} s"));
        let text = format!(
            "{request_line}\n{}  answer {}{retry_after}{}\n{}",
            indented(request),
            answer.status,
            if answer.close { ", close" } else { "" },
            indented(&answer.body)
        );
        self.record(channel, form, text);
    }

    fn record(&mut self, channel: Channel, form: String, text: String) {
        self.digests.entry(channel).or_default().add(&text);
        self.trace.push_str(&text);
        if self.forms.insert((channel, form)) {
            self.shown.push((channel, text));
        }
    }

    /// Returns the shown messages of these channels in order, followed by a digest per channel.
    pub fn text(&self, channels: &[Channel]) -> String {
        let chosen = self.shown.iter().filter(|(channel, _)| channels.contains(channel));
        let mut parts: Vec<String> = chosen.map(|(_, text)| text.clone()).collect();
        for channel in channels {
            if let Some(Digest { messages, hash }) = self.digests.get(channel) {
                parts.push(format!("{channel:?}: {messages} messages, digest {hash:016x}\n"));
            }
        }
        parts.join("\n")
    }

    /// Compares the messages of these channels with a golden file. If `GOLDEN_TRACE` names a
    /// folder, all messages are written there, so that the traces of two versions can be compared.
    pub fn assert_golden(&self, name: &str, channels: &[Channel]) {
        if let Some(folder) = std::env::var_os("GOLDEN_TRACE") {
            let file = Path::new(&folder).join(format!("{name}.txt"));
            std::fs::write(file, &self.trace).expect("the trace can be written");
        }
        assert_golden(name, &self.text(channels));
    }
}

/// Returns a target without the digits of its path and the value of `since`; the values of other
/// query parameters, such as limits, stay.
fn target_form(target: &str) -> String {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameters = query.split('&').map(|p| match p.starts_with("since=") {
        true => "since".to_string(),
        false => p.to_string(),
    });
    format!("{}?{}", without_digits(path), parameters.collect::<Vec<_>>().join("&"))
}

fn indented(body: &[u8]) -> String {
    match body {
        [] => String::new(),
        _ => format!("  {}\n", body_text(body, 2)),
    }
}

fn golden_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/expected").join(format!("{name}.txt"))
}

/// Compares a text with a golden file, line by line. `GOLDEN_UPDATE=1` first rewrites the file: use
/// it only for an intended change of what other processes see, never for a refactoring.
pub fn assert_golden(name: &str, text: &str) {
    let file = golden_file(name);
    if std::env::var_os("GOLDEN_UPDATE").is_some() {
        std::fs::write(&file, text).expect("the golden file can be written");
    }
    let expected = std::fs::read_to_string(&file)
        .unwrap_or_else(|e| panic!("golden file {}: {e}", file.display()));
    for (number, (want, got)) in (1..).zip(expected.lines().zip(text.lines())) {
        assert_eq!(want, got, "expected/{name}.txt, line {number}");
    }
    let (want, got) = (expected.lines().count(), text.lines().count());
    assert_eq!(want, got, "expected/{name}.txt: number of lines");
    assert!(expected == text, "expected/{name}.txt: line ends");
}
