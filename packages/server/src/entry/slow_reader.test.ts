/**
 * Backpressure of a slow caller pauses the stream from the agent, so that
 * unread data does not accumulate in the entry.
 */
import type {AnswerChunk} from '@sassafrasspan/core';
import {
  AgentPeer,
  CLOSED_STREAM,
  RunFrame,
  RunRequest,
  StreamListener,
} from '@sassafrasspan/nodes';
import {AttemptSink, RunAttempt} from './run_attempt';

const CHUNK_BYTES = 1_000;
const CHUNKS = 50;
/** Unread bytes at which the caller's connection is full. */
const FULL_AT_BYTES = 4_000;

const REQUEST = {requestId: 'r', attempt: 1, budgetMs: 1_000, entry: 'e'};

/** An agent that sends one chunk per turn unless its stream is paused. */
class FakeAgent {
  private isPaused = false;
  private sentChunks = 0;
  private listener: StreamListener<RunFrame> | undefined;

  static create(): FakeAgent {
    return new FakeAgent();
  }

  startRun(_request: RunRequest, listener: StreamListener<RunFrame>) {
    this.listener = listener;
    return {
      ...CLOSED_STREAM,
      pause: () => {
        this.isPaused = true;
      },
      resume: () => {
        this.isPaused = false;
      },
    };
  }

  acknowledgeRun(): void {}

  sendChunk(): void {
    if (this.isPaused || this.sentChunks >= CHUNKS) return;
    const data = new Uint8Array(CHUNK_BYTES);
    const offset = this.sentChunks * CHUNK_BYTES;
    this.sentChunks += 1;
    const value = {offset, data, weightVersion: 0, tokens: 0};
    this.sendFrame({$case: 'chunk', value});
  }

  private sendFrame(frame: RunFrame['frame']): void {
    this.listener?.receiveMessage({requestId: 'r', attempt: 1, frame});
  }
}

/** A caller's connection whose buffer holds a few chunks. */
class SlowSink implements AttemptSink {
  bufferedBytes = 0;
  receivedBytes = 0;
  private listeners: Array<() => void> = [];

  static create(): SlowSink {
    return new SlowSink();
  }

  readonly backpressure = {
    isFull: () => this.bufferedBytes >= FULL_AT_BYTES,
    addDrainListener: (listener: () => void) => {
      this.listeners.push(listener);
    },
  };

  setHead(): void {}

  appendChunk(chunk: AnswerChunk): void {
    this.bufferedBytes += chunk.data.length;
    this.receivedBytes += chunk.data.length;
  }

  /** Simulates a caller that reads all buffered data. */
  drain(): void {
    this.bufferedBytes = 0;
    const {listeners} = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}

/** Returns the peak of buffered bytes while the caller reads every 10th turn. */
function measurePeakBytes(
  agent: FakeAgent,
  slowSink: SlowSink,
  sink: AttemptSink,
) {
  const attempt = RunAttempt.create({
    agent: agent as unknown as AgentPeer,
    request: REQUEST as RunRequest,
    scheduler: {schedule: () => () => undefined},
    sink,
    retainsAnswer: false,
    onResume: () => undefined,
  });
  void attempt.run();
  let peakBytes = 0;
  for (let turn = 1; turn <= 10 * CHUNKS; turn++) {
    agent.sendChunk();
    peakBytes = Math.max(peakBytes, slowSink.bufferedBytes);
    if (turn % 10 === 0) slowSink.drain();
  }
  return peakBytes;
}

test('unread data of a slow caller stays bounded', () => {
  const slowSink = SlowSink.create();
  const peakBytes = measurePeakBytes(FakeAgent.create(), slowSink, slowSink);
  expect(peakBytes).toBe(FULL_AT_BYTES);
  expect(slowSink.receivedBytes).toBe(CHUNKS * CHUNK_BYTES);
});

test('control: without backpressure unread data exceeds the bound', () => {
  const slowSink = SlowSink.create();
  const sink: AttemptSink = {
    setHead: () => undefined,
    appendChunk: chunk => slowSink.appendChunk(chunk),
  };
  const peakBytes = measurePeakBytes(FakeAgent.create(), slowSink, sink);
  expect(peakBytes).toBeGreaterThan(FULL_AT_BYTES);
});
