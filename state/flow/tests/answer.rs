//! Answers are cut into chunks that make up the whole.
use bytes::Bytes;
use flow::Answer;
use flow::answer::CHUNK_BYTES;
use flow::answer::MAX_ANSWER_BYTES;

fn is_whole(len: usize) {
    let bytes: Vec<u8> = (0..=u8::MAX).cycle().take(len).collect();
    let answer = Answer::new(Bytes::from(bytes.clone())).unwrap();
    let chunks: Vec<_> = answer.chunks(9).collect();
    assert_eq!(chunks.len(), answer.count() as usize);
    assert!(
        chunks
            .iter()
            .all(|chunk| chunk.payload.len() <= CHUNK_BYTES)
    );
    assert!(chunks.iter().all(|chunk| chunk.request == 9));
    let whole: Vec<u8> = chunks
        .iter()
        .flat_map(|chunk| chunk.payload.clone())
        .collect();
    assert_eq!(whole, bytes);
}

cases::cases! { is_whole;
    an_empty_answer_is_whole: 0,
    a_short_answer_is_whole: 1,
    a_chunk_is_whole: CHUNK_BYTES,
    a_byte_more_than_a_chunk_is_whole: CHUNK_BYTES + 1,
    a_long_answer_is_whole: 100 * CHUNK_BYTES - 1,
}

#[test]
fn a_too_large_answer_is_refused() {
    assert!(Answer::new(Bytes::from(vec![0; MAX_ANSWER_BYTES + 1])).is_none());
}

#[test]
fn there_is_no_chunk_past_the_end() {
    let answer = Answer::new(Bytes::new()).unwrap();
    assert!(answer.chunk(1, 0).is_some());
    assert!(answer.chunk(1, 1).is_none());
    assert!(answer.chunk(1, u32::MAX).is_none());
}
