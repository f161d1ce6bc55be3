import {AnswerAssembler} from '../runs/answer_assembler';
import {AnswerBuffer, AnswerFrame} from '../runs/answer_buffer';
import {AnswerCollector} from './answer_collector';

/**
 * Lists the frames of an answer whose third chunk was generated after a swap
 * from version 1 to 2.
 */
function listFrames(fromOffset: number): AnswerFrame[] {
  const buffer = AnswerBuffer.create();
  const encoder = new TextEncoder();
  buffer.appendData(encoder.encode('Δύο '), 1, 1);
  buffer.appendData(encoder.encode('waiters '), 1, 1);
  buffer.appendData(encoder.encode('for Syros'), 2, 2);
  buffer.finish({
    finishReason: 'stop',
    promptTokens: 3,
    completionTokens: 4,
    cachedTokens: 0,
  });
  const frames: AnswerFrame[] = [];
  buffer.subscribe(fromOffset, frame => frames.push(frame));
  return frames;
}

/** Collects frames as an entry does: chunks received twice are ignored. */
function collectFrames(frames: readonly AnswerFrame[]) {
  const assembler = AnswerAssembler.create();
  const collector = AnswerCollector.create();
  for (const frame of frames) {
    if (frame.type === 'end') return collector.finish(frame.end);
    if (frame.type !== 'chunk') continue;
    const newChunk = assembler.acceptChunk(frame.chunk)._unsafeUnwrap();
    if (newChunk !== undefined) collector.appendChunk(newChunk);
  }
  return undefined;
}

test('the segments of an answer state the versions of its chunks', () => {
  expect(collectFrames(listFrames(0))).toMatchSnapshot();
});

test('resuming from any byte changes neither text nor versions', () => {
  const frames = listFrames(0);
  const uninterrupted = collectFrames(frames);
  const chunkEnds = [0, 7, 15, 24];
  for (const [receivedCount, end] of chunkEnds.entries()) {
    for (let offset = 0; offset <= end; offset++) {
      const received = frames.slice(0, receivedCount);
      const resumed = collectFrames([...received, ...listFrames(offset)]);
      expect(resumed).toEqual(uninterrupted);
    }
  }
});

test('an answer with differing or missing segments is rejected', () => {
  const frames = listFrames(0);
  const withoutEndSegments = frames.map(frame =>
    frame.type === 'end'
      ? {...frame, end: {...frame.end, segments: []}}
      : frame,
  );
  const withoutChunks = frames.filter(frame => frame.type !== 'chunk');
  expect([
    collectFrames(withoutEndSegments),
    collectFrames(withoutChunks),
  ]).toMatchSnapshot();
});
