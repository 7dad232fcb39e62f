//! The chunks of an answer contain the complete answer.
use bytes::Bytes;
use flow::Answer;
use flow::answer::CHUNK_BYTES;
use flow::answer::MAX_ANSWER_BYTES;

fn chunks_contain_the_answer(len: usize) {
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
    let joined: Vec<u8> = chunks
        .iter()
        .flat_map(|chunk| chunk.payload.clone())
        .collect();
    assert_eq!(joined, bytes);
}

cases::cases! { chunks_contain_the_answer;
    an_empty_answer_is_complete: 0,
    a_one_byte_answer_is_complete: 1,
    an_answer_of_one_chunk_is_complete: CHUNK_BYTES,
    an_answer_one_byte_above_a_chunk_is_complete: CHUNK_BYTES + 1,
    a_long_answer_is_complete: 100 * CHUNK_BYTES - 1,
}

#[test]
fn an_answer_above_the_size_limit_is_refused() {
    assert!(Answer::new(Bytes::from(vec![0; MAX_ANSWER_BYTES + 1])).is_none());
}

#[test]
fn there_is_no_chunk_past_the_end() {
    let answer = Answer::new(Bytes::new()).unwrap();
    assert!(answer.chunk(1, 0).is_some());
    assert!(answer.chunk(1, 1).is_none());
    assert!(answer.chunk(1, u32::MAX).is_none());
}
