/**
 * A caller that reads slowly stops the stream from its agent until it has
 * read on; nothing piles up in the entry.
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
const FULL_AT_BYTES = 4_000;

const REQUEST = {requestId: 'r', attempt: 1, budgetMs: 1_000, entry: 'e'};

/** An agent that sends a chunk a turn while its stream is not paused. */
class FakeAgent {
  private isPaused = false;
  private sent = 0;
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
    if (this.isPaused || this.sent >= CHUNKS) return;
    const data = new Uint8Array(CHUNK_BYTES);
    const offset = this.sent * CHUNK_BYTES;
    this.sent += 1;
    const value = {offset, data, weightVersion: 0, tokens: 0};
    this.sendFrame({$case: 'chunk', value});
  }

  private sendFrame(frame: RunFrame['frame']): void {
    this.listener?.receiveMessage({requestId: 'r', attempt: 1, frame});
  }
}

/** A caller's connection with room for a few chunks. */
class SlowSink implements AttemptSink {
  held = 0;
  received = 0;
  private listeners: Array<() => void> = [];

  static create(): SlowSink {
    return new SlowSink();
  }

  readonly backpressure = {
    isFull: () => this.held >= FULL_AT_BYTES,
    addDrainListener: (listener: () => void) => {
      this.listeners.push(listener);
    },
  };

  setHead(): void {}

  appendChunk(chunk: AnswerChunk): void {
    this.held += chunk.data.length;
    this.received += chunk.data.length;
  }

  /** The caller reads everything. */
  drain(): void {
    this.held = 0;
    const {listeners} = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}

/** Returns the most bytes held while the caller reads every tenth turn. */
function measurePeak(agent: FakeAgent, slow: SlowSink, sink: AttemptSink) {
  const attempt = RunAttempt.create({
    agent: agent as unknown as AgentPeer,
    request: REQUEST as RunRequest,
    scheduler: {schedule: () => () => undefined},
    sink,
    retainsAnswer: false,
    onResume: () => undefined,
  });
  void attempt.run();
  let peak = 0;
  for (let turn = 1; turn <= 10 * CHUNKS; turn++) {
    agent.sendChunk();
    peak = Math.max(peak, slow.held);
    if (turn % 10 === 0) slow.drain();
  }
  return peak;
}

test('what a slow caller has not read stays bounded', () => {
  const slow = SlowSink.create();
  const peak = measurePeak(FakeAgent.create(), slow, slow);
  expect(peak).toBe(FULL_AT_BYTES);
  expect(slow.received).toBe(CHUNKS * CHUNK_BYTES);
});

test('control: without backpressure it piles up', () => {
  const slow = SlowSink.create();
  const sink: AttemptSink = {
    setHead: () => undefined,
    appendChunk: chunk => slow.appendChunk(chunk),
  };
  const peak = measurePeak(FakeAgent.create(), slow, sink);
  expect(peak).toBeGreaterThan(FULL_AT_BYTES);
});
