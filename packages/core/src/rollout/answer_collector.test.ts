import {AnswerAssembler} from '../runs/answer_assembler';
import {AnswerBuffer, AnswerFrame} from '../runs/answer_buffer';
import {AnswerCollector} from './answer_collector';

/** Frames of an answer of three chunks over a swap from version 1 to 2. */
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

/** Collects frames as an entry does. */
function collectFrames(frames: readonly AnswerFrame[]) {
  const assembler = AnswerAssembler.create();
  const collector = AnswerCollector.create();
  for (const frame of frames) {
    if (frame.type === 'end') return collector.finish(frame.end);
    if (frame.type !== 'chunk') continue;
    const fresh = assembler.acceptChunk(frame.chunk)._unsafeUnwrap();
    if (fresh !== undefined) collector.appendChunk(fresh);
  }
  return undefined;
}

test('a sample names the versions of its chunks', () => {
  expect(collectFrames(listFrames(0))).toMatchSnapshot();
});

test('a resume from any byte changes neither text nor versions', () => {
  const frames = listFrames(0);
  const whole = collectFrames(frames);
  const chunkEnds = [0, 7, 15, 24];
  for (const [received, end] of chunkEnds.entries()) {
    for (let offset = 0; offset <= end; offset++) {
      const lost = frames.slice(0, received);
      const resumed = collectFrames([...lost, ...listFrames(offset)]);
      expect(resumed).toEqual(whole);
    }
  }
});

test('an end that names other versions, or none, is not taken', () => {
  const frames = listFrames(0);
  const renamed = frames.map(frame =>
    frame.type === 'end'
      ? {...frame, end: {...frame.end, segments: []}}
      : frame,
  );
  const withoutChunks = frames.filter(frame => frame.type !== 'chunk');
  expect([
    collectFrames(renamed),
    collectFrames(withoutChunks),
  ]).toMatchSnapshot();
});
