//! Tests of the pages of a reply to a configuration pull.

use cassialift_core::config::Document;

use super::config::page;

fn document(revision: u64, bytes: usize) -> Document {
    Document {
        key: "presets".to_owned(),
        revision,
        text: Some("x".repeat(bytes)),
    }
}

#[test]
fn test_page_holds_all_when_small() {
    let documents = vec![document(1, 10), document(2, 10)];
    assert_eq!(page(documents.clone()), (documents, false));
    assert_eq!(page(Vec::new()), (Vec::new(), false));
}

#[test]
fn test_page_is_cut_below_a_frame() {
    let documents: Vec<Document> = (0..9).map(|i| document(i, 1 << 20)).collect();
    let (first, more) = page(documents.clone());
    assert!(more);
    assert_eq!(first, documents[..2]);
    let (last, more) = page(documents[7..].to_vec());
    assert!(!more);
    assert_eq!(last, documents[7..]);
}
